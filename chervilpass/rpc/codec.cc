#include "chervilpass/rpc/codec.h"

#include <type_traits>

namespace chervilpass::rpc {
namespace {

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::uint32_t ToMs(Duration duration) {
  return static_cast<std::uint32_t>(ToMilliseconds(duration));
}

template <class Source, class ListBuilder>
void WriteStructs(const Source& values, ListBuilder list) {
  unsigned index = 0;
  for (const auto& value : values) {
    Write(value, list[index++]);
  }
}

void WriteHeaders(const io::HttpHeaders& headers,
                  capnp::List<schema::Header>::Builder list) {
  unsigned index = 0;
  for (const io::HttpHeader& field : headers.All()) {
    list[index].setName(field.name);
    list[index].setValue(field.value);
    ++index;
  }
}

io::HttpHeaders ReadHeaders(capnp::List<schema::Header>::Reader list) {
  io::HttpHeaders headers;
  for (const auto field : list) {
    headers.Add(ToString(field.getName()), ToString(field.getValue()));
  }
  return headers;
}

void WriteTokens(const std::vector<std::uint32_t>& tokens,
                 capnp::List<std::uint32_t>::Builder list) {
  for (unsigned i = 0; i < tokens.size(); ++i) {
    list.set(i, tokens[i]);
  }
}

std::vector<std::uint32_t> ReadTokens(capnp::List<std::uint32_t>::Reader list) {
  std::vector<std::uint32_t> tokens;
  tokens.reserve(list.size());
  for (const std::uint32_t token : list) {
    tokens.push_back(token);
  }
  return tokens;
}

void WriteRefusal(const admission::Refusal& value,
                  schema::Refusal::Builder to) {
  to.setCode(static_cast<std::uint16_t>(value.code));
  to.setExecuted(static_cast<schema::Executed>(value.executed));
  to.setRetryAfterMs(ToMs(value.retry_after));
  to.setDetail(value.detail);
}

admission::Refusal ReadRefusal(schema::Refusal::Reader from) {
  return {static_cast<admission::RefusalCode>(from.getCode()),
          static_cast<admission::Executed>(from.getExecuted()),
          milliseconds(from.getRetryAfterMs()), ToString(from.getDetail())};
}

// Both unions that carry an HTTP response have the same three fields.
template <class ResponseBuilder>
void WriteResponse(const io::HttpResponse& value, ResponseBuilder to) {
  to.setStatus(static_cast<std::uint16_t>(value.status));
  WriteHeaders(value.headers, to.initHeaders(value.headers.All().size()));
  to.setBody(ToData(value.body));
}

template <class ResponseReader>
io::HttpResponse ReadResponse(ResponseReader from) {
  return {from.getStatus(), ReadHeaders(from.getHeaders()),
          ToString(from.getBody())};
}

}  // namespace

void Write(const CompletionRequest& value,
           schema::CompletionRequest::Builder to) {
  to.setRequestId(value.request_id);
  to.setSession(value.session);
  to.setOrganisation(value.organisation);
  to.setPipeline(value.pipeline);
  to.setCell(value.cell);
  WriteTokens(value.prompt, to.initPrompt(value.prompt.size()));
  WriteTokens(value.accepted, to.initAccepted(value.accepted.size()));
  to.setMaxTokens(value.max_tokens);
  to.setSeed(value.seed);
  to.setEpoch(value.epoch);
  to.setDeadlineMs(ToMs(value.deadline));
  to.setFingerprint(value.fingerprint);
}

CompletionRequest Read(schema::CompletionRequest::Reader from) {
  CompletionRequest value;
  value.request_id = ToString(from.getRequestId());
  value.organisation = ToString(from.getOrganisation());
  value.session = ToString(from.getSession());
  value.pipeline = ToString(from.getPipeline());
  value.cell = from.getCell();
  value.prompt = ReadTokens(from.getPrompt());
  value.accepted = ReadTokens(from.getAccepted());
  value.max_tokens = from.getMaxTokens();
  value.seed = from.getSeed();
  value.epoch = from.getEpoch();
  value.deadline = milliseconds(from.getDeadlineMs());
  value.fingerprint = from.getFingerprint();
  return value;
}

void Write(const CompletionOutcome& value,
           schema::CompletionOutcome::Builder to) {
  if (const auto* finished = std::get_if<Finished>(&value.result)) {
    to.setFinished(finished->tokens);
  } else {
    WriteRefusal(std::get<admission::Refusal>(value.result), to.initRefusal());
  }
  to.setInFlight(value.in_flight);
  to.setCapacity(value.capacity);
}

CompletionOutcome Read(schema::CompletionOutcome::Reader from) {
  CompletionOutcome value;
  if (from.isFinished()) {
    value.result = Finished{from.getFinished()};
  } else {
    value.result = ReadRefusal(from.getRefusal());
  }
  value.in_flight = from.getInFlight();
  value.capacity = from.getCapacity();
  return value;
}

void Write(const ServiceRequest& value, schema::ServiceRequest::Builder to) {
  to.setRequestId(value.request_id);
  to.setOrganisation(value.organisation);
  to.setService(value.service);
  to.setMethod(value.call.method);
  to.setTarget(value.call.query.empty()
                   ? value.call.path
                   : value.call.path + "?" + value.call.query);
  WriteHeaders(value.call.headers,
               to.initHeaders(value.call.headers.All().size()));
  to.setBody(ToData(value.call.body));
  to.setIdempotencyKey(value.idempotency_key);
  to.setDeadlineMs(ToMs(value.deadline));
}

ServiceRequest Read(schema::ServiceRequest::Reader from) {
  ServiceRequest value;
  value.request_id = ToString(from.getRequestId());
  value.organisation = ToString(from.getOrganisation());
  value.service = ToString(from.getService());
  value.idempotency_key = ToString(from.getIdempotencyKey());
  value.call.method = ToString(from.getMethod());
  const std::string target = ToString(from.getTarget());
  const std::size_t query_mark = target.find('?');
  value.call.path = target.substr(0, query_mark);
  if (query_mark != std::string::npos) {
    value.call.query = target.substr(query_mark + 1);
  }
  value.call.headers = ReadHeaders(from.getHeaders());
  value.call.body = ToString(from.getBody());
  value.deadline = milliseconds(from.getDeadlineMs());
  return value;
}

void Write(const ServiceOutcome& value, schema::ServiceOutcome::Builder to) {
  if (const auto* response = std::get_if<io::HttpResponse>(&value.result)) {
    WriteResponse(*response, to.initAnswer());
  } else {
    WriteRefusal(std::get<admission::Refusal>(value.result), to.initRefusal());
  }
  to.setReplayed(value.replayed);
}

ServiceOutcome Read(schema::ServiceOutcome::Reader from) {
  ServiceOutcome value;
  if (from.isAnswer()) {
    value.result = ReadResponse(from.getAnswer());
  } else {
    value.result = ReadRefusal(from.getRefusal());
  }
  value.replayed = from.getReplayed();
  return value;
}

void Write(const ClaimState& value, schema::ClaimState::Builder to) {
  std::visit(
      [&to](const auto& state) {
        using T = std::decay_t<decltype(state)>;
        if constexpr (std::is_same_v<T, ClaimAbsent>) {
          to.setAbsent();
        } else if constexpr (std::is_same_v<T, ClaimRunning>) {
          to.setRunning();
        } else if constexpr (std::is_same_v<T, ClaimUnknown>) {
          to.setUnknown();
        } else if constexpr (std::is_same_v<T, ClaimUnavailable>) {
          to.setUnavailable(state.detail);
        } else {
          WriteResponse(state, to.initDone());
        }
      },
      value);
}

ClaimState Read(schema::ClaimState::Reader from) {
  switch (from.which()) {
    case schema::ClaimState::ABSENT:
      return ClaimAbsent{};
    case schema::ClaimState::RUNNING:
      return ClaimRunning{};
    case schema::ClaimState::DONE:
      return ReadResponse(from.getDone());
    case schema::ClaimState::UNKNOWN:
      return ClaimUnknown{};
    case schema::ClaimState::UNAVAILABLE:
      return ClaimUnavailable{ToString(from.getUnavailable())};
  }
  return ClaimUnknown{};
}

void Write(const membership::Member& value, schema::Member::Builder to) {
  to.setVm(value.vm);
  to.setDataCentre(value.data_centre);
  to.setRegion(value.region);
  to.setIp(value.ip);
  to.setHttpPort(value.http_port);
  to.setDispatchPort(value.dispatch_port);
  to.setControlPort(value.control_port);
  to.setGossipPort(value.gossip_port);
  to.setBootId(value.boot_id);
  to.setIncarnation(value.incarnation);
  to.setStatus(static_cast<std::uint8_t>(value.status));
  to.setEntryUp(value.entry_up);
  to.setDispatchUp(value.dispatch_up);
  to.setStoreUp(value.store_up);
  to.setConfigVersion(value.config_version);
  to.setForwardPort(value.forward_port);
  to.setCutOff(value.cut_off);
}

membership::Member Read(schema::Member::Reader from) {
  membership::Member value;
  value.vm = ToString(from.getVm());
  value.data_centre = ToString(from.getDataCentre());
  value.region = ToString(from.getRegion());
  value.ip = ToString(from.getIp());
  value.http_port = from.getHttpPort();
  value.dispatch_port = from.getDispatchPort();
  value.control_port = from.getControlPort();
  value.gossip_port = from.getGossipPort();
  value.boot_id = from.getBootId();
  value.incarnation = from.getIncarnation();
  value.status = static_cast<membership::Status>(
      std::min<std::uint8_t>(from.getStatus(), 3));
  value.entry_up = from.getEntryUp();
  value.dispatch_up = from.getDispatchUp();
  value.store_up = from.getStoreUp();
  value.config_version = from.getConfigVersion();
  value.forward_port = from.getForwardPort();
  value.cut_off = from.getCutOff();
  return value;
}

void Write(const quarantine::Strike& value, schema::Strike::Builder to) {
  to.setFingerprint(value.fingerprint);
  to.setWorker(value.worker);
  to.setWallMs(value.at.milliseconds);
  to.setPrior(value.prior);
}

quarantine::Strike Read(schema::Strike::Reader from) {
  return {from.getFingerprint(), ToString(from.getWorker()),
          WallTime{from.getWallMs()}, from.getPrior()};
}

void Write(const View& value, schema::View::Builder to) {
  to.setGeneration(value.generation);
  WriteStructs(value.members, to.initMembers(value.members.size()));
  to.setConfigVersion(value.config_version);
  to.setConfig(ToData(value.config));
  WriteStructs(value.strikes, to.initStrikes(value.strikes.size()));
  auto leaving = to.initLeavingBackends(value.leaving_backends.size());
  for (unsigned i = 0; i < value.leaving_backends.size(); ++i) {
    leaving.set(i, value.leaving_backends[i]);
  }
}

View Read(schema::View::Reader from) {
  View value;
  value.generation = from.getGeneration();
  for (const auto member : from.getMembers()) {
    value.members.push_back(Read(member));
  }
  value.config_version = from.getConfigVersion();
  value.config = ToString(from.getConfig());
  for (const auto strike : from.getStrikes()) {
    value.strikes.push_back(Read(strike));
  }
  for (const auto name : from.getLeavingBackends()) {
    value.leaving_backends.push_back(ToString(name));
  }
  return value;
}

void Write(const ChangeRequest& value, schema::ChangeRequest::Builder to) {
  to.setChangeId(value.change_id);
  to.setBody(ToData(value.delta));
}

ChangeRequest Read(schema::ChangeRequest::Reader from) {
  return {ToString(from.getChangeId()), ToString(from.getBody())};
}

void Write(const ChangeResult& value, schema::ChangeResult::Builder to) {
  std::visit(
      [&to](const auto& result) {
        using T = std::decay_t<decltype(result)>;
        if constexpr (std::is_same_v<T, ChangeAccepted>) {
          to.setAccepted(result.version);
        } else if constexpr (std::is_same_v<T, ChangeConflict>) {
          to.setConflict(result.detail);
        } else if constexpr (std::is_same_v<T, ChangeInvalid>) {
          to.setInvalid(result.detail);
        } else {
          to.setUnavailable(result.detail);
        }
      },
      value);
}

ChangeResult Read(schema::ChangeResult::Reader from) {
  switch (from.which()) {
    case schema::ChangeResult::ACCEPTED:
      return ChangeAccepted{from.getAccepted()};
    case schema::ChangeResult::CONFLICT:
      return ChangeConflict{ToString(from.getConflict())};
    case schema::ChangeResult::INVALID:
      return ChangeInvalid{ToString(from.getInvalid())};
    case schema::ChangeResult::UNAVAILABLE:
      return ChangeUnavailable{ToString(from.getUnavailable())};
  }
  return ChangeUnavailable{"unknown result"};
}

}  // namespace chervilpass::rpc
