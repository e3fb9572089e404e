#include "chervilpass/rpc/gossip_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

#include "chervilpass/rpc/codec.h"

namespace chervilpass::rpc {
namespace {

constexpr std::uint64_t kMaxMessageWords = 16 * 1024;
constexpr std::uint8_t kMaxKind =
    static_cast<std::uint8_t>(membership::MessageKind::kLoads);
constexpr std::uint8_t kMaxStatus =
    static_cast<std::uint8_t>(membership::Status::kDead);

membership::MemberUpdate ReadUpdate(schema::MemberUpdate::Reader from) {
  membership::MemberUpdate update;
  update.vm_key = from.getVmKey();
  update.boot_id = from.getBootId();
  update.incarnation = from.getIncarnation();
  update.identity = from.getIdentity();
  update.suspected_by = from.getSuspectedBy();
  update.status = static_cast<membership::Status>(
      std::min<std::uint8_t>(from.getStatus(), kMaxStatus));
  update.entry_up = from.getEntryUp();
  update.dispatch_up = from.getDispatchUp();
  update.store_up = from.getStoreUp();
  update.cut_off = from.getCutOff();
  return update;
}

void ReadLoadNotices(schema::Gossip::Reader from,
                     membership::GossipMessage* message) {
  for (const auto notice : from.getFullWorkers()) {
    message->full_workers.push_back({notice.getWorker(), notice.getLeftMs()});
  }
  for (const auto notice : from.getOrganisationLoads()) {
    message->organisation_loads.push_back(
        {notice.getOrganisation(), notice.getTokens()});
  }
  for (const auto notice : from.getServerPaces()) {
    message->server_paces.push_back(
        {notice.getStart(), notice.getShare(), notice.getAgeCs()});
  }
}

void ReadPartialLoads(schema::Gossip::Reader from,
                      membership::GossipMessage* message) {
  if (!from.hasPartialLoads()) {
    return;
  }
  const auto partial = from.getPartialLoads();
  message->from = partial.getFrom().cStr();
  message->loads_of_data_centre = partial.getOfDataCentre();
  message->partial_loads = {partial.getShare(),
                            partial.getRestSequencesHundredths(),
                            partial.getRestKvKiloTokenLayers()};
}

membership::GossipMessage ReadMessage(schema::Gossip::Reader from) {
  membership::GossipMessage message;
  message.kind =
      static_cast<membership::MessageKind>(std::min(from.getKind(), kMaxKind));
  message.sequence = from.getSequence();
  message.from = from.getFrom().cStr();
  message.target = from.getTarget().cStr();
  for (const auto member : from.getMembers()) {
    message.members.push_back(Read(member));
  }
  for (const auto strike : from.getStrikes()) {
    message.strikes.push_back(Read(strike));
  }
  for (const auto clearance : from.getClearances()) {
    message.clearances.push_back(
        {clearance.getFingerprint(), WallTime{clearance.getWallMs()}});
  }
  for (const auto notice : from.getLeaving()) {
    message.leaving.push_back(
        {notice.getBackend().cStr(), WallTime{notice.getWallMs()}});
  }
  for (const auto notice : from.getUnreachable()) {
    message.unreachable.push_back(
        {notice.getBackend().cStr(), WallTime{notice.getWallMs()}});
  }
  for (const auto departure : from.getDepartures()) {
    message.departures.push_back({departure.getServer().cStr(),
                                  WallTime{departure.getStartedMs()},
                                  WallTime{departure.getWallMs()}});
  }
  for (const auto load : from.getLoads()) {
    message.loads.push_back({load.getWorker(), load.getSequences(),
                             load.getKvKiloTokenLayers(), load.getRateLimit(),
                             load.getRateLimitAge()});
  }
  message.loads_of_data_centre = from.getLoadsOfDataCentre();
  ReadPartialLoads(from, &message);
  ReadLoadNotices(from, &message);
  for (const auto update : from.getUpdates()) {
    message.updates.push_back(ReadUpdate(update));
  }
  message.table_digest = from.getTableDigest();
  const auto digests = from.getBucketDigests();
  if (digests.size() == membership::kTableBuckets) {
    message.bucket_digests.emplace();
    std::copy(digests.begin(), digests.end(), message.bucket_digests->begin());
  }
  message.listed_buckets = from.getListedBuckets();
  for (const std::uint64_t key : from.getWanted()) {
    message.wanted.push_back(key);
  }
  message.pass_on = from.getPassOn();
  return message;
}

void WriteUpdate(const membership::MemberUpdate& update,
                 schema::MemberUpdate::Builder to) {
  to.setVmKey(update.vm_key);
  to.setBootId(update.boot_id);
  to.setIncarnation(update.incarnation);
  to.setIdentity(update.identity);
  to.setSuspectedBy(update.suspected_by);
  to.setStatus(static_cast<std::uint8_t>(update.status));
  to.setEntryUp(update.entry_up);
  to.setDispatchUp(update.dispatch_up);
  to.setStoreUp(update.store_up);
  to.setCutOff(update.cut_off);
}

// Fields that builds without table comparison do not know.
void WriteTables(const membership::GossipMessage& message,
                 schema::Gossip::Builder root) {
  auto updates = root.initUpdates(message.updates.size());
  for (unsigned i = 0; i < message.updates.size(); ++i) {
    WriteUpdate(message.updates[i], updates[i]);
  }
  root.setTableDigest(message.table_digest);
  if (message.bucket_digests) {
    auto digests = root.initBucketDigests(membership::kTableBuckets);
    for (unsigned i = 0; i < membership::kTableBuckets; ++i) {
      digests.set(i, (*message.bucket_digests)[i]);
    }
  }
  root.setListedBuckets(message.listed_buckets);
  auto wanted = root.initWanted(message.wanted.size());
  for (unsigned i = 0; i < message.wanted.size(); ++i) {
    wanted.set(i, message.wanted[i]);
  }
  root.setPassOn(message.pass_on);
}

// Older builds ignore sums of a data centre from a VM that they do not know.
void WritePartialLoads(const membership::GossipMessage& message,
                       schema::Gossip::Builder root) {
  root.setFrom("");
  root.setLoadsOfDataCentre(true);
  auto partial = root.initPartialLoads();
  partial.setFrom(message.from);
  partial.setOfDataCentre(message.loads_of_data_centre);
  partial.setShare(message.partial_loads->share);
  partial.setRestSequencesHundredths(
      message.partial_loads->rest_sequences_hundredths);
  partial.setRestKvKiloTokenLayers(
      message.partial_loads->rest_kv_kilo_token_layers);
}

// Fields that older builds do not know.
void WriteLoadNotices(const membership::GossipMessage& message,
                      schema::Gossip::Builder root) {
  auto full_workers = root.initFullWorkers(message.full_workers.size());
  for (unsigned i = 0; i < message.full_workers.size(); ++i) {
    full_workers[i].setWorker(message.full_workers[i].worker);
    full_workers[i].setLeftMs(message.full_workers[i].milliseconds);
  }
  auto organisations =
      root.initOrganisationLoads(message.organisation_loads.size());
  for (unsigned i = 0; i < message.organisation_loads.size(); ++i) {
    organisations[i].setOrganisation(
        message.organisation_loads[i].organisation);
    organisations[i].setTokens(message.organisation_loads[i].tokens);
  }
  auto paces = root.initServerPaces(message.server_paces.size());
  for (unsigned i = 0; i < message.server_paces.size(); ++i) {
    paces[i].setStart(message.server_paces[i].start);
    paces[i].setShare(message.server_paces[i].share);
    paces[i].setAgeCs(message.server_paces[i].age);
  }
}

template <class Notice>
void WriteNotices(const std::vector<Notice>& notices,
                  capnp::List<schema::LeavingNotice>::Builder to) {
  for (unsigned i = 0; i < notices.size(); ++i) {
    to[i].setBackend(notices[i].backend);
    to[i].setWallMs(notices[i].at.milliseconds);
  }
}

}  // namespace

std::string EncodeGossip(const membership::GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::Gossip>();
  root.setKind(static_cast<std::uint8_t>(message.kind));
  root.setSequence(message.sequence);
  root.setFrom(message.from);
  root.setTarget(message.target);
  auto members = root.initMembers(message.members.size());
  for (unsigned i = 0; i < message.members.size(); ++i) {
    Write(message.members[i], members[i]);
  }
  auto strikes = root.initStrikes(message.strikes.size());
  for (unsigned i = 0; i < message.strikes.size(); ++i) {
    Write(message.strikes[i], strikes[i]);
  }
  auto clearances = root.initClearances(message.clearances.size());
  for (unsigned i = 0; i < message.clearances.size(); ++i) {
    clearances[i].setFingerprint(message.clearances[i].fingerprint);
    clearances[i].setWallMs(message.clearances[i].at.milliseconds);
  }
  WriteNotices(message.leaving, root.initLeaving(message.leaving.size()));
  WriteNotices(message.unreachable,
               root.initUnreachable(message.unreachable.size()));
  auto departures = root.initDepartures(message.departures.size());
  for (unsigned i = 0; i < message.departures.size(); ++i) {
    departures[i].setServer(message.departures[i].backend);
    departures[i].setStartedMs(message.departures[i].started.milliseconds);
    departures[i].setWallMs(message.departures[i].at.milliseconds);
  }
  auto loads = root.initLoads(message.loads.size());
  for (unsigned i = 0; i < message.loads.size(); ++i) {
    loads[i].setWorker(message.loads[i].worker);
    loads[i].setSequences(message.loads[i].sequences);
    loads[i].setKvKiloTokenLayers(message.loads[i].kv_kilo_token_layers);
    loads[i].setRateLimit(message.loads[i].rate_limit);
    loads[i].setRateLimitAge(message.loads[i].rate_limit_age);
  }
  root.setLoadsOfDataCentre(message.loads_of_data_centre);
  if (message.partial_loads) {
    WritePartialLoads(message, root);
  }
  WriteLoadNotices(message, root);
  WriteTables(message, root);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes) {
  membership::GossipMessage message;
  // Cap'n Proto reports malformed input by exception.
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader reader(stream, options);
    message = ReadMessage(reader.getRoot<schema::Gossip>());
  });
  if (exception != nullptr) {
    return std::nullopt;
  }
  return message;
}

}  // namespace chervilpass::rpc
