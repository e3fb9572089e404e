// Tests of the settings reader and of the fleet configuration: JSON,
// validation, deltas, merges, the CSV table and the configuration history.
#include <boost/fiber/fiber.hpp>

#include "chervilpass/config/change_merge.h"
#include "chervilpass/config/config_json.h"
#include "chervilpass/config/fleet_yaml.h"
#include "chervilpass/config/settings_reader.h"
#include "chervilpass/config/table_csv.h"
#include "chervilpass/control/config_history.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/core/random.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::config;

namespace {

FleetConfig SampleFleet() {
  FleetConfig fleet;
  fleet.version = 4;
  fleet.pipelines["llm"] = {"llm", 32, 512, 2};
  fleet.services["orders"] = {"orders", {"POST"}};
  fleet.organisations["brewer"] = {"brewer", {Sha256Hex("k1")}};
  fleet.organisations["clerk"] = {"clerk", {Sha256Hex("k2")}};
  Backend stage;
  stage.id = "w1";
  stage.address = {"127.0.0.1", 8000};
  stage.data_centre = "dc-a";
  stage.region = "tt";
  stage.role = StageRole{"llm", 0, 31, "large", 8, true};
  fleet.backends["w1"] = stage;
  fleet.rows[{"brewer", "llm"}] = {2, 10, 0, 1, 5000};
  fleet.rows[{"clerk", "llm"}] = {1, 0, 0, 0, 0};
  return fleet;
}

ConfigDelta RowChange(const FleetConfig& base,
                      const RowKey& key,
                      std::uint32_t weight) {
  FleetConfig next = base;
  next.version = base.version + 1;
  next.rows[key].weight = weight;
  return Difference(base, next);
}

}  // namespace

Test(settings, all_errors_of_a_file_are_found_in_one_pass) {
  auto reader = SettingsReader::FromText(
      "lisen: '127.0.0.1:1'\ncount: 70000\nname: ''\nextra:\n  a: 1\n",
      "f.yaml");
  cr_assert(reader.has_value());
  reader.value().Address("listen");
  reader.value().Integer("count", {1, 65535});
  reader.value().Text("name");
  reader.value().Bool("flag", true);
  const SettingsErrors errors = reader.value().Finish();
  const std::string text = ToText(errors);
  cr_assert_eq(errors.size(), 5, "%s", text.c_str());
  cr_assert(text.find("f.yaml:1: lisen: is not a known field; did you mean "
                      "'listen'?") != std::string::npos);
  cr_assert(text.find("f.yaml:2: count: '70000' given; a whole number from 1 "
                      "to 65535 is expected") != std::string::npos);
  cr_assert(text.find("listen: is missing") != std::string::npos);
}

Test(settings, invalid_yaml_is_reported_with_its_line) {
  const auto reader = SettingsReader::FromText("a: 1\nb: [1, 2\n", "g.yaml");
  cr_assert(reader.has_error());
  cr_assert_geq(reader.error().front().line, 2);
}

// Guards against the end of a daemon that reads its settings again: it does so
// on a fiber, whose stack is small.
Test(settings, deeply_nested_files_are_reported_on_a_fiber) {
  for (const std::size_t depth : {450, 20000}) {
    const std::string text =
        "a: " + std::string(depth, '[') + std::string(depth, ']');
    bool refused = false;
    boost::fibers::fiber([&] {
      refused = SettingsReader::FromText(text, "deep").has_error();
    }).join();
    cr_assert_eq(refused, depth > 500);
  }
}

Test(settings, mutated_files_do_not_crash_the_reader) {
  const std::string good =
      "vm: a\nlisten: '127.0.0.1:1'\nlog: {level: info}\nlist:\n  - {x: 1}\n";
  Random random(11);
  for (int i = 0; i < 10000; ++i) {
    std::string text = good;
    const std::uint64_t edits = 1 + random.Below(6);
    for (std::uint64_t e = 0; e < edits; ++e) {
      const std::size_t at = random.Below(text.size());
      switch (random.Below(3)) {
        case 0:
          text[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          text.erase(at, 1 + random.Below(4));
          break;
        default:
          text.insert(at, text.substr(random.Below(text.size()), 5));
      }
      if (text.empty()) {
        text = "x";
      }
    }
    auto reader = SettingsReader::FromText(text, "fuzz");
    if (reader.has_value()) {
      reader.value().Text("vm");
      reader.value().Address("listen");
      reader.value().Section("log").Choice("level", {"info"}, "info");
      for (SettingsReader& item : reader.value().List("list")) {
        item.Integer("x", {0, 9});
      }
      reader.value().Finish();
    }
  }
}

Test(fleet, json_round_trip_preserves_the_configuration) {
  const FleetConfig fleet = SampleFleet();
  const auto read = ConfigFromJson(ToJson(fleet));
  cr_assert(read.has_value());
  cr_assert(read.value() == fleet);
}

Test(fleet, validation_reports_all_errors) {
  FleetConfig fleet = SampleFleet();
  fleet.rows[{"nobody", "llm"}] = {};
  fleet.rows[{"brewer", "llm"}].weight = 0;
  std::get<StageRole>(fleet.backends["w1"].role).last_layer = 32;
  cr_assert_eq(Validate(fleet).size(), 3);
  cr_assert(Validate(SampleFleet()).empty());
}

Test(fleet, organisation_is_found_by_key_but_not_by_hash) {
  const FleetConfig fleet = SampleFleet();
  cr_assert(fleet.FindByKey("k1")->name == "brewer");
  cr_assert(fleet.FindByKey(Sha256Hex("k1")) == nullptr);
}

Test(delta, applying_the_difference_gives_the_newer_version) {
  const FleetConfig older = SampleFleet();
  FleetConfig newer = older;
  newer.version = 9;
  newer.rows.erase({"clerk", "llm"});
  newer.rows[{"brewer", "llm"}].weight = 7;
  newer.backends["w1"].draining = true;
  newer.organisations["new"] = {"new", {}};
  const ConfigDelta delta = Difference(older, newer);
  const auto read = DeltaFromJson(ToJson(delta));
  cr_assert(read.has_value());
  cr_assert(read.value() == delta);
  cr_assert(ApplyDelta(older, read.value()) == newer);
  cr_assert(!ApplyDelta(newer, delta).has_value());
}

Test(merge, disjoint_changes_are_both_applied) {
  const FleetConfig base = SampleFleet();
  const auto first =
      MergeChange(base, nullptr, RowChange(base, {"brewer", "llm"}, 5), "c1");
  const FleetConfig& current = std::get<FleetConfig>(first);
  const auto second =
      MergeChange(current, &base, RowChange(base, {"clerk", "llm"}, 6), "c2");
  const FleetConfig& merged = std::get<FleetConfig>(second);
  cr_assert_eq(merged.rows.at({"brewer", "llm"}).weight, 5);
  cr_assert_eq(merged.rows.at({"clerk", "llm"}).weight, 6);
  cr_assert_eq(merged.version, 6);
  cr_assert_eq(VersionOfChange(merged, "c1"), 5);
  cr_assert_eq(VersionOfChange(merged, "c3"), 0);
}

Test(merge, conflicting_changes_are_rejected_with_both_values) {
  const FleetConfig base = SampleFleet();
  const auto first =
      MergeChange(base, nullptr, RowChange(base, {"brewer", "llm"}, 5), "c1");
  const auto second = MergeChange(std::get<FleetConfig>(first), &base,
                                  RowChange(base, {"brewer", "llm"}, 6), "c2");
  const auto* conflict = std::get_if<MergeConflict>(&second);
  cr_assert(conflict != nullptr);
  cr_assert(conflict->detail.find("yours weight=6") != std::string::npos);
  cr_assert(conflict->detail.find("theirs weight=5") != std::string::npos);
}

Test(merge, unknown_base_is_rejected) {
  const FleetConfig base = SampleFleet();
  FleetConfig current = base;
  current.version = 50;
  const auto result =
      MergeChange(current, nullptr, RowChange(base, {"brewer", "llm"}, 5), "c");
  cr_assert(std::holds_alternative<BaseUnknown>(result));
}

Test(merge, invalid_result_is_rejected) {
  const FleetConfig base = SampleFleet();
  const auto result =
      MergeChange(base, nullptr, RowChange(base, {"brewer", "llm"}, 0), "c");
  cr_assert(std::holds_alternative<ConfigErrors>(result));
}

Test(table, csv_round_trip_preserves_the_table) {
  const FleetConfig fleet = SampleFleet();
  const Table table{fleet.version, fleet.rows};
  const auto read = TableFromCsv(ToCsv(table));
  cr_assert(read.has_value());
  cr_assert(read.value() == table);
}

Test(table, quoted_cells_and_crlf_line_ends_are_parsed) {
  const auto read = TableFromCsv(
      "# version 3,,,,,,\r\n\"organisation\",target,weight,concurrency_limit,"
      "rate_limit,priority,deadline_ms\r\n\"brewer\",llm,2,0,0,0,0\r\n,,,,,,"
      "\r\n");
  cr_assert(read.has_value());
  cr_assert_eq(read.value().base_version, 3);
  cr_assert_eq(read.value().rows.at({"brewer", "llm"}).weight, 2);
}

Test(table, all_errors_are_reported_with_row_and_column) {
  const auto read = TableFromCsv(
      "# version 3\norganisation,target,weight,concurrency_limit,rate_limit,"
      "priority,deadline_ms\na,llm,x,0,0,0,-1\nb,llm,1\na,llm,1,0,0,0,0\n");
  cr_assert(read.has_error());
  const std::string text = ToText(read.error());
  cr_assert(text.find("row 3 weight: 'x' given") != std::string::npos);
  cr_assert(text.find("row 3 deadline_ms: '-1' given") != std::string::npos);
  cr_assert(text.find("row 4: 3 cells given") != std::string::npos);
  cr_assert(text.find("row 5: a,llm is given twice") != std::string::npos);
}

Test(table, change_description_lists_changed_and_removed_rows) {
  const FleetConfig base = SampleFleet();
  Table table{base.version, base.rows};
  table.rows.erase({"clerk", "llm"});
  table.rows[{"brewer", "llm"}].weight = 9;
  const std::string text = DescribeChange(base, TableDelta(base, table));
  cr_assert(text ==
            "change brewer,llm: 2,10,0,1,5000 -> 9,10,0,1,5000\n"
            "remove clerk,llm\n");
}

Test(config_history, equal_and_lower_versions_are_rejected) {
  control::ConfigHistory history;
  FleetConfig fleet = SampleFleet();
  cr_assert(history.Apply(fleet));
  cr_assert(!history.Apply(fleet));
  fleet.version = 3;
  fleet.rows.clear();
  cr_assert(!history.Apply(fleet));
  cr_assert_eq(history.Version(), 4);
  cr_assert_eq(history.Current()->rows.size(), 2);
}

Test(config_history, peers_receive_a_delta_if_their_version_is_known) {
  control::ConfigHistory history;
  control::ConfigHistory peer;
  const FleetConfig base = SampleFleet();
  history.Apply(base);
  peer.Apply(base);
  history.Apply(*ApplyDelta(base, RowChange(base, {"brewer", "llm"}, 5)));
  const auto delta = history.ChangesSince(peer.Version());
  cr_assert(!delta.is_full);
  cr_assert(peer.Apply(delta));
  cr_assert(*peer.Current() == *history.Current());
  cr_assert(history.ChangesSince(1).is_full);
  control::ConfigHistory new_peer;
  cr_assert(new_peer.Apply(history.ChangesSince(0)));
  cr_assert(*new_peer.Current() == *history.Current());
}
