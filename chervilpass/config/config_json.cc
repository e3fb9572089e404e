#include "chervilpass/config/config_json.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace chervilpass::config {
namespace {

namespace json = boost::json;

// ---- writing ----

json::array TextArray(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

json::object Write(const Pipeline& value) {
  return {{"name", value.name},
          {"layers", value.layers},
          {"token_limit", value.token_limit},
          {"cell_replicas", value.cell_replicas}};
}

json::object Write(const Service& value) {
  return {{"name", value.name},
          {"non_repeatable", TextArray(value.non_repeatable)}};
}

json::object Write(const Organisation& value) {
  return {{"name", value.name}, {"key_hashes", TextArray(value.key_hashes)}};
}

json::object Write(const Backend& value) {
  json::object object = {{"id", value.id},
                         {"address", value.address.ToText()},
                         {"data_centre", value.data_centre},
                         {"region", value.region},
                         {"draining", value.draining}};
  if (const auto* stage = std::get_if<StageRole>(&value.role)) {
    object["pipeline"] = stage->pipeline;
    object["first_layer"] = stage->first_layer;
    object["last_layer"] = stage->last_layer;
    object["accelerator"] = stage->accelerator;
    object["session_limit"] = stage->session_limit;
    object["checks_fencing"] = stage->checks_fencing;
  } else {
    object["service"] = std::get<ServiceRole>(value.role).service;
  }
  return object;
}

json::object WriteRow(const RowKey& key, const TableRow& value) {
  return {{"organisation", key.organisation},
          {"target", key.target},
          {"weight", value.weight},
          {"concurrency_limit", value.concurrency_limit},
          {"rate_limit", value.rate_limit},
          {"priority", value.priority},
          {"deadline_ms", value.deadline_ms}};
}

template <class Map>
json::array WriteValues(const Map& map) {
  json::array array;
  for (const auto& [key, value] : map) {
    array.push_back(Write(value));
  }
  return array;
}

json::array WriteRows(const std::map<RowKey, TableRow>& rows) {
  json::array array;
  for (const auto& [key, row] : rows) {
    array.push_back(WriteRow(key, row));
  }
  return array;
}

json::array WriteRowKeys(const std::vector<RowKey>& keys) {
  json::array array;
  for (const RowKey& key : keys) {
    array.push_back(json::object{{"organisation", key.organisation},
                                 {"target", key.target}});
  }
  return array;
}

json::array WriteChanges(const std::vector<AppliedChange>& changes) {
  json::array array;
  for (const AppliedChange& change : changes) {
    array.push_back(
        json::object{{"id", change.id}, {"version", change.version}});
  }
  return array;
}

// ---- reading ----

// Reads the fields of one object and collects all errors.
class ObjectReader {
 public:
  ObjectReader(const json::value& value,
               std::string place,
               ConfigErrors* errors)
      : object(value.if_object()), place(std::move(place)), errors(errors) {
    if (this->object == nullptr) {
      this->Add("", "an object is expected");
    }
  }

  bool Has(std::string_view field) const { return this->Get(field) != nullptr; }

  std::string Text(std::string_view field, bool required = true) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      if (required) {
        this->Add(field, "is missing");
      }
      return "";
    }
    if (!value->is_string()) {
      this->Add(field, "a string is expected");
      return "";
    }
    return std::string(value->get_string());
  }

  template <class Number>
  Number Unsigned(std::string_view field, Number fallback) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return fallback;
    }
    boost::system::error_code error;
    const Number number = value->to_number<Number>(error);
    if (error || !value->is_number()) {
      this->Add(field, "a non-negative integer is expected");
      return fallback;
    }
    return number;
  }

  bool Flag(std::string_view field) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      this->Add(field, "true or false is expected");
      return false;
    }
    return value->get_bool();
  }

  std::vector<std::string> Texts(std::string_view field) {
    std::vector<std::string> texts;
    for (const json::value& value : this->Array(field)) {
      if (value.is_string()) {
        texts.emplace_back(value.get_string());
      } else {
        this->Add(field, "a list of strings is expected");
      }
    }
    return texts;
  }

  json::array Array(std::string_view field) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_array()) {
      this->Add(field, "a list is expected");
      return {};
    }
    return value->get_array();
  }

  json::value Child(std::string_view field) {
    const json::value* value = this->Get(field);
    return value == nullptr ? json::object() : *value;
  }

  void Add(std::string_view field, std::string detail) {
    this->errors->push_back(
        {field.empty() ? this->place : fmt::format("{} {}", this->place, field),
         std::move(detail)});
  }

 private:
  const json::value* Get(std::string_view field) const {
    if (this->object == nullptr) {
      return nullptr;
    }
    return this->object->if_contains({field.data(), field.size()});
  }

  const json::object* object;
  std::string place;
  ConfigErrors* errors;
};

Pipeline ReadPipeline(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "pipeline", errors);
  Pipeline pipeline;
  pipeline.name = reader.Text("name");
  pipeline.layers = reader.Unsigned("layers", pipeline.layers);
  pipeline.token_limit = reader.Unsigned("token_limit", pipeline.token_limit);
  pipeline.cell_replicas =
      reader.Unsigned("cell_replicas", pipeline.cell_replicas);
  return pipeline;
}

Service ReadService(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "service", errors);
  return {reader.Text("name"), reader.Texts("non_repeatable")};
}

Organisation ReadOrganisation(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "organisation", errors);
  return {reader.Text("name"), reader.Texts("key_hashes")};
}

Backend ReadBackend(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "backend", errors);
  Backend backend;
  backend.id = reader.Text("id");
  const std::string address = reader.Text("address");
  if (const auto endpoint = io::Endpoint::Parse(address)) {
    backend.address = *endpoint;
  } else {
    reader.Add("address", "'" + address + "' is not IP:PORT");
  }
  backend.data_centre = reader.Text("data_centre");
  backend.region = reader.Text("region");
  backend.draining = reader.Flag("draining");
  if (reader.Has("service")) {
    backend.role = ServiceRole{reader.Text("service")};
    return backend;
  }
  StageRole stage;
  stage.pipeline = reader.Text("pipeline");
  stage.first_layer = reader.Unsigned("first_layer", stage.first_layer);
  stage.last_layer = reader.Unsigned("last_layer", stage.last_layer);
  stage.accelerator = reader.Text("accelerator", false);
  stage.session_limit = reader.Unsigned("session_limit", stage.session_limit);
  stage.checks_fencing = reader.Flag("checks_fencing");
  backend.role = stage;
  return backend;
}

RowKey ReadRowKey(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "row", errors);
  return {reader.Text("organisation"), reader.Text("target")};
}

TableRow ReadRow(const json::value& value, ConfigErrors* errors) {
  ObjectReader reader(value, "row", errors);
  TableRow row;
  row.weight = reader.Unsigned("weight", row.weight);
  row.concurrency_limit =
      reader.Unsigned("concurrency_limit", row.concurrency_limit);
  row.rate_limit = reader.Unsigned("rate_limit", row.rate_limit);
  row.priority = reader.Unsigned("priority", row.priority);
  row.deadline_ms = reader.Unsigned("deadline_ms", row.deadline_ms);
  return row;
}

template <class Value, class ReadValue>
std::map<std::string, Value> ReadNamed(ObjectReader& reader,
                                       std::string_view field,
                                       ConfigErrors* errors,
                                       ReadValue read,
                                       std::string Value::*name) {
  std::map<std::string, Value> map;
  for (const json::value& item : reader.Array(field)) {
    Value value = read(item, errors);
    const std::string key = value.*name;
    if (!map.emplace(key, std::move(value)).second) {
      reader.Add(field, "'" + key + "' is given twice");
    }
  }
  return map;
}

std::map<RowKey, TableRow> ReadRows(ObjectReader& reader,
                                    std::string_view field,
                                    ConfigErrors* errors) {
  std::map<RowKey, TableRow> rows;
  for (const json::value& item : reader.Array(field)) {
    const RowKey key = ReadRowKey(item, errors);
    if (!rows.emplace(key, ReadRow(item, errors)).second) {
      reader.Add(field, fmt::format("'{},{}' is given twice", key.organisation,
                                    key.target));
    }
  }
  return rows;
}

std::vector<AppliedChange> ReadChanges(ObjectReader& reader,
                                       ConfigErrors* errors) {
  std::vector<AppliedChange> changes;
  for (const json::value& item : reader.Array("recent_changes")) {
    ObjectReader change(item, "change", errors);
    changes.push_back(
        {change.Text("id"), change.Unsigned("version", std::uint64_t{0})});
  }
  return changes;
}

// Reads the fields that a full configuration and the changes of a delta have in
// common.
template <class Target>
void ReadObjects(ObjectReader& reader, ConfigErrors* errors, Target assign) {
  assign(ReadNamed(reader, "pipelines", errors, ReadPipeline, &Pipeline::name),
         ReadNamed(reader, "services", errors, ReadService, &Service::name),
         ReadNamed(reader, "organisations", errors, ReadOrganisation,
                   &Organisation::name),
         ReadNamed(reader, "backends", errors, ReadBackend, &Backend::id),
         ReadRows(reader, "rows", errors));
}

Result<json::value, ConfigErrors> ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error);
  if (error) {
    return ConfigErrors{{"json", error.message()}};
  }
  return value;
}

}  // namespace

std::string ToJson(const FleetConfig& config) {
  return json::serialize(
      json::object{{"version", config.version},
                   {"recent_changes", WriteChanges(config.recent_changes)},
                   {"pipelines", WriteValues(config.pipelines)},
                   {"services", WriteValues(config.services)},
                   {"organisations", WriteValues(config.organisations)},
                   {"backends", WriteValues(config.backends)},
                   {"rows", WriteRows(config.rows)}});
}

Result<FleetConfig, ConfigErrors> ConfigFromJson(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(text));
  ConfigErrors errors;
  ObjectReader reader(value, "configuration", &errors);
  FleetConfig config;
  config.version = reader.Unsigned("version", config.version);
  config.recent_changes = ReadChanges(reader, &errors);
  ReadObjects(reader, &errors,
              [&config](auto pipelines, auto services, auto organisations,
                        auto backends, auto rows) {
                config.pipelines = std::move(pipelines);
                config.services = std::move(services);
                config.organisations = std::move(organisations);
                config.backends = std::move(backends);
                config.rows = std::move(rows);
              });
  if (!errors.empty()) {
    return errors;
  }
  return config;
}

std::string ToJson(const ConfigDelta& delta) {
  const json::object removed = {
      {"pipelines", TextArray(delta.pipelines.removed)},
      {"services", TextArray(delta.services.removed)},
      {"organisations", TextArray(delta.organisations.removed)},
      {"backends", TextArray(delta.backends.removed)},
      {"rows", WriteRowKeys(delta.rows.removed)}};
  const json::object changed = {
      {"pipelines", WriteValues(delta.pipelines.changed)},
      {"services", WriteValues(delta.services.changed)},
      {"organisations", WriteValues(delta.organisations.changed)},
      {"backends", WriteValues(delta.backends.changed)},
      {"rows", WriteRows(delta.rows.changed)}};
  return json::serialize(
      json::object{{"from", delta.from_version},
                   {"to", delta.to_version},
                   {"recent_changes", WriteChanges(delta.recent_changes)},
                   {"changed", changed},
                   {"removed", removed}});
}

Result<ConfigDelta, ConfigErrors> DeltaFromJson(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(text));
  ConfigErrors errors;
  ObjectReader reader(value, "delta", &errors);
  ConfigDelta delta;
  delta.from_version = reader.Unsigned("from", delta.from_version);
  delta.to_version = reader.Unsigned("to", delta.to_version);
  delta.recent_changes = ReadChanges(reader, &errors);
  const json::value changed = reader.Child("changed");
  ObjectReader changes(changed, "delta changed", &errors);
  ReadObjects(changes, &errors,
              [&delta](auto pipelines, auto services, auto organisations,
                       auto backends, auto rows) {
                delta.pipelines.changed = std::move(pipelines);
                delta.services.changed = std::move(services);
                delta.organisations.changed = std::move(organisations);
                delta.backends.changed = std::move(backends);
                delta.rows.changed = std::move(rows);
              });
  const json::value removed = reader.Child("removed");
  ObjectReader removals(removed, "delta removed", &errors);
  delta.pipelines.removed = removals.Texts("pipelines");
  delta.services.removed = removals.Texts("services");
  delta.organisations.removed = removals.Texts("organisations");
  delta.backends.removed = removals.Texts("backends");
  for (const json::value& item : removals.Array("rows")) {
    delta.rows.removed.push_back(ReadRowKey(item, &errors));
  }
  if (!errors.empty()) {
    return errors;
  }
  return delta;
}

}  // namespace chervilpass::config
