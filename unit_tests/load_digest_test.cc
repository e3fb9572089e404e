// Tests of the bound of load datagrams, and of what other builds make of them.
#include <criterion/criterion.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/io.h>

#include "chervilpass/fleet/load_digest.h"
#include "chervilpass/rpc/generated/chervil.capnp.h"
#include "chervilpass/rpc/gossip_codec.h"

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

membership::GossipMessage Loads(std::uint32_t workers, bool of_data_centre) {
  membership::GossipMessage message;
  message.kind = membership::MessageKind::kLoads;
  message.from = "10.0.0.1";
  message.loads_of_data_centre = of_data_centre;
  for (std::uint32_t i = 0; i < workers; ++i) {
    message.loads.push_back({0x9e3779b9U * i,
                             static_cast<std::uint16_t>(1 + i % 7),
                             1000 + i % 500});
  }
  return message;
}

}  // namespace

// Data centres of today's size: guards against a change for them.
Test(load_digest, short_lists_are_sent_as_before) {
  Random random(1);
  for (const bool of_data_centre : {false, true}) {
    auto message = Loads(160, of_data_centre);
    BoundLoads({}, &random, &message);
    cr_assert(message == Loads(160, of_data_centre));
  }
}

// 3,000 workers: guards against datagrams of many IP fragments, all of which
// are lost if one is.
Test(load_digest, datagrams_of_large_fleets_fit_into_a_packet) {
  Random random(1);
  for (const bool of_data_centre : {false, true}) {
    auto message = Loads(3000, of_data_centre);
    BoundLoads({}, &random, &message);
    cr_assert(message.partial_loads.has_value());
    const std::string bytes = rpc::EncodeGossip(message);
    cr_assert_leq(bytes.size(), 1472, "%zu bytes", bytes.size());
    const auto read = rpc::DecodeGossip(bytes);
    cr_assert(read && *read == message);
  }
}

// Guards against a sample that counts as the whole load of its sender.
Test(load_digest, samples_are_scaled_to_the_load_of_the_whole_list) {
  Random random(1);
  const auto whole = Loads(800, false);
  double expected = 0;
  for (const auto& load : whole.loads) {
    expected += load.sequences;
  }
  double sum = 0;
  constexpr int kRounds = 200;
  for (int i = 0; i < kRounds; ++i) {
    auto message = whole;
    BoundLoads({}, &random, &message);
    ScaleSample(&message);
    for (const auto& load : message.loads) {
      sum += load.sequences;
    }
  }
  cr_assert_float_eq(sum / kRounds / expected, 1, 0.03, "%f",
                     sum / kRounds / expected);
}

Test(load_digest, largest_sums_and_the_average_of_the_rest_are_sent) {
  Random random(1);
  auto message = Loads(700, true);
  message.loads[650].sequences = 180;
  double expected = 0;
  for (const auto& load : message.loads) {
    expected += load.sequences;
  }
  BoundLoads({}, &random, &message);
  cr_assert_eq(message.loads.front().sequences, 180);
  double listed = 0;
  for (const auto& load : message.loads) {
    listed += load.sequences;
  }
  const double rest = message.partial_loads->rest_sequences_hundredths / 100.0 *
                      static_cast<double>(700 - message.loads.size());
  cr_assert_float_eq((listed + rest) / expected, 1, 0.01);
}

// A build without the field sees sums of a data centre from a VM that it does
// not know, which it ignores: guards against a part that it takes for all.
Test(load_digest, other_builds_ignore_partial_lists) {
  Random random(1);
  for (const bool of_data_centre : {false, true}) {
    auto message = Loads(400, of_data_centre);
    BoundLoads({}, &random, &message);
    const std::string bytes = rpc::EncodeGossip(message);
    kj::ArrayInputStream stream(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader reader(stream);
    const auto root = reader.getRoot<rpc::schema::Gossip>();
    cr_assert_str_empty(root.getFrom().cStr());
    cr_assert(root.getLoadsOfDataCentre());
  }
}
