#include "stand_ins/engine/engine_model.h"

#include <algorithm>

#include "stand_ins/model/reference_model.h"

namespace chervilpass::stand_ins {

bool PrefixCache::Touch(std::uint64_t prefix) {
  const auto found =
      std::find(this->recent.begin(), this->recent.end(), prefix);
  const bool hit = found != this->recent.end();
  if (hit) {
    this->recent.erase(found);
  }
  this->recent.push_front(prefix);
  if (this->recent.size() > this->limit) {
    this->recent.pop_back();
  }
  return hit;
}

EngineModel::EngineModel(std::uint32_t first_layer,
                         std::uint32_t last_layer,
                         std::uint32_t session_limit)
    : first_layer(first_layer),
      last_layer(last_layer),
      session_limit(session_limit) {}

StepResult EngineModel::Run(const StepRequest& request) {
  const auto found = this->sessions.find(request.session);
  if (found == this->sessions.end()) {
    if (request.position != 0) {
      return {"wrong_position", {}, 0};
    }
    if (this->sessions.size() >= this->session_limit) {
      return {"busy", {}, 0};
    }
    return this->Execute(&this->sessions[request.session], request);
  }
  Session& session = found->second;
  if (request.epoch < session.cache.epoch) {
    return {"stale_epoch", {}, 0};
  }
  if (request.epoch > session.cache.epoch && request.position == 0) {
    session = Session{};
    return this->Execute(&session, request);
  }
  const bool repeated = session.last_request &&
                        session.last_request->epoch == request.epoch &&
                        session.last_request->position == request.position;
  if (repeated) {
    return session.last_result;
  }
  if (request.epoch != session.cache.epoch ||
      request.position != session.cache.next_position) {
    return {"wrong_position", {}, 0};
  }
  return this->Execute(&session, request);
}

StepResult EngineModel::Execute(Session* session, const StepRequest& request) {
  const std::size_t layers = this->last_layer - this->first_layer + 1;
  session->cache.layers.resize(layers, 0);
  session->cache.epoch = request.epoch;
  StepResult result;
  for (std::size_t i = 0; i < request.values.size(); ++i) {
    std::uint64_t activation = request.values[i];
    const auto position = static_cast<std::uint32_t>(request.position + i);
    for (std::size_t layer = 0; layer < layers; ++layer) {
      activation =
          ApplyLayer(static_cast<std::uint32_t>(this->first_layer + layer),
                     position, activation, &session->cache.layers[layer]);
    }
    result.values.push_back(activation);
  }
  session->cache.next_position =
      static_cast<std::uint32_t>(request.position + request.values.size());
  if (request.sample && !result.values.empty()) {
    result.token = SampleToken(result.values.back(), request.seed);
    result.values.clear();
  }
  session->last_request = request;
  session->last_result = result;
  return result;
}

void EngineModel::Release(const std::string& session) {
  this->sessions.erase(session);
}

std::optional<SessionCache> EngineModel::Export(
    const std::string& session) const {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return std::nullopt;
  }
  return found->second.cache;
}

bool EngineModel::Import(const std::string& session,
                         const SessionCache& cache) {
  const std::size_t layers = this->last_layer - this->first_layer + 1;
  if (cache.layers.size() != layers) {
    return false;
  }
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end() &&
      found->second.cache.epoch > cache.epoch) {
    return false;
  }
  if (found == this->sessions.end() &&
      this->sessions.size() >= this->session_limit) {
    return false;
  }
  this->sessions[session] = Session{cache, std::nullopt, {}};
  return true;
}

}  // namespace chervilpass::stand_ins
