// Tests of the gossip codec.
#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>
#include <kj/io.h>

#include "chervilpass/core/random.h"
#include "chervilpass/rpc/gossip_codec.h"
#include "chervilpass/rpc/permit_codec.h"

using namespace chervilpass;
using namespace chervilpass::membership;

namespace {

GossipMessage SampleMessage() {
  GossipMessage message;
  message.kind = MessageKind::kPingRequest;
  message.sequence = 77;
  message.from = "vm-1";
  message.target = "vm-2";
  Member member{"vm-1",           "dc", "r",   "127.0.0.1", 1, 2, 3, 4, 9, 5,
                Status::kLeaving, true, false, true,        12};
  message.members = {member, member};
  message.strikes = {{123, "worker", {456}, 2}};
  message.clearances = {{124, {457}}};
  message.leaving = {{"backend", {789}}};
  message.unreachable = {{"worker", {1011}}};
  message.departures = {{"worker", {1012}, {1013}}};
  message.loads = {{7, 3, 1200, 11102, 250}};
  message.loads_of_data_centre = true;
  message.full_workers = {{7, 250}};
  message.organisation_loads = {{11, 42000}};
  message.server_paces = {{13, 64, 30}};
  return message;
}

// Pointer fields of a gossip message in builds without notices of full workers.
constexpr unsigned kPointersOfPreviousBuild = 12;

// The datagram as such a build sees it.
std::string WithoutNewFields(const std::string& bytes) {
  kj::ArrayInputStream input(
      {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
  capnp::PackedMessageReader reader(input);
  const auto whole = reader.getRoot<capnp::AnyStruct>();
  const auto pointers = whole.getPointerSection();
  capnp::MallocMessageBuilder builder;
  auto seen = builder.getRoot<capnp::AnyPointer>().initAsAnyStruct(
      whole.getDataSection().size() / 8, kPointersOfPreviousBuild);
  std::copy(whole.getDataSection().begin(), whole.getDataSection().end(),
            seen.getDataSection().begin());
  for (unsigned i = 0; i < kPointersOfPreviousBuild && i < pointers.size();
       ++i) {
    seen.getPointerSection()[i].set(pointers[i]);
  }
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto array = output.getArray();
  return {reinterpret_cast<const char*>(array.begin()), array.size()};
}

}  // namespace

Test(gossip_codec, round_trip_preserves_the_message) {
  const GossipMessage message = SampleMessage();
  cr_assert(rpc::DecodeGossip(rpc::EncodeGossip(message)) == message);
}

// VMs of two builds share a data centre during an upgrade. An older one
// replaces the sender's loads by those of the notice, so that they must be in
// it.
Test(gossip_codec, notice_of_a_full_worker_is_read_as_loads_by_older_builds) {
  GossipMessage notice;
  notice.kind = MessageKind::kLoads;
  notice.from = "vm-1";
  notice.loads = {{7, 190, 1200, 0, 0}, {8, 3, 40, 0, 0}};
  notice.full_workers = {{7, 250}};
  const auto seen =
      rpc::DecodeGossip(WithoutNewFields(rpc::EncodeGossip(notice)));
  cr_assert(seen.has_value());
  GossipMessage loads = notice;
  loads.full_workers.clear();
  cr_assert(*seen == loads);
  // All fields of the previous build are seen.
  GossipMessage sample = SampleMessage();
  const auto sample_seen =
      rpc::DecodeGossip(WithoutNewFields(rpc::EncodeGossip(sample)));
  sample.full_workers.clear();
  sample.organisation_loads.clear();
  sample.server_paces.clear();
  cr_assert(sample_seen && *sample_seen == sample);
}

Test(gossip_codec, message_with_six_members_fits_into_one_packet) {
  GossipMessage message = SampleMessage();
  message.members.resize(6, message.members.front());
  // Ethernet MTU of 1,500 bytes minus the IP and UDP headers.
  cr_assert_lt(rpc::EncodeGossip(message).size(), 1472);
}

Test(gossip_codec, mutated_datagrams_do_not_crash_the_decoder) {
  const std::string good = rpc::EncodeGossip(SampleMessage());
  Random random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (std::uint64_t e = 0; e < 1 + random.Below(8); ++e) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    bytes.resize(random.Below(bytes.size() + 1));
    rpc::DecodeGossip(bytes);
  }
}

Test(permit_codec, messages_survive_a_round_trip_and_other_bytes_are_refused) {
  using namespace chervilpass;
  const rpc::PermitMessage messages[] = {
      rpc::PermitRequest{7, "i-1", {37.1, milliseconds(20)}, milliseconds(250)},
      rpc::PermitReply{7, true, milliseconds(30), {std::nullopt, seconds(1)}}};
  for (const rpc::PermitMessage& message : messages) {
    const std::string bytes = rpc::EncodePermitMessage(message);
    cr_assert(rpc::DecodePermitMessage(bytes) == message);
    for (std::size_t size = 0; size < bytes.size() / 2; ++size) {
      rpc::DecodePermitMessage(std::string_view(bytes).substr(0, size));
    }
  }
  cr_assert(!rpc::DecodePermitMessage("not a message"));
}
