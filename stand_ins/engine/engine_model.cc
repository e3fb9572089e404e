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

StepResult EngineModel::Run(const StepRequest& order) {
  const auto found = this->sessions.find(order.session);
  if (found == this->sessions.end()) {
    if (order.position != 0) {
      return {"wrong_position", {}, 0};
    }
    if (this->sessions.size() >= this->session_limit) {
      return {"busy", {}, 0};
    }
    return this->Execute(&this->sessions[order.session], order);
  }
  Session& session = found->second;
  if (order.epoch < session.cache.epoch) {
    return {"stale_epoch", {}, 0};
  }
  if (order.epoch > session.cache.epoch && order.position == 0) {
    session = Session{};
    return this->Execute(&session, order);
  }
  const bool repeated = session.last_order &&
                        session.last_order->epoch == order.epoch &&
                        session.last_order->position == order.position;
  if (repeated) {
    return session.last_result;
  }
  if (order.epoch != session.cache.epoch ||
      order.position != session.cache.next_position) {
    return {"wrong_position", {}, 0};
  }
  return this->Execute(&session, order);
}

StepResult EngineModel::Execute(Session* session, const StepRequest& order) {
  const std::size_t layers = this->last_layer - this->first_layer + 1;
  session->cache.layers.resize(layers, 0);
  session->cache.epoch = order.epoch;
  StepResult result;
  for (std::size_t i = 0; i < order.values.size(); ++i) {
    std::uint64_t activation = order.values[i];
    const auto position = static_cast<std::uint32_t>(order.position + i);
    for (std::size_t layer = 0; layer < layers; ++layer) {
      activation =
          ApplyLayer(static_cast<std::uint32_t>(this->first_layer + layer),
                     position, activation, &session->cache.layers[layer]);
    }
    result.values.push_back(activation);
  }
  session->cache.next_position =
      static_cast<std::uint32_t>(order.position + order.values.size());
  if (order.sample && !result.values.empty()) {
    result.token = SampleToken(result.values.back(), order.seed);
    result.values.clear();
  }
  session->last_order = order;
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
