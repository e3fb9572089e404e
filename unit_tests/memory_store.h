// A store in memory on loopback, of objects of one kind.
#pragma once

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass {

constexpr const char* kMemoryStoreIp = "127.0.203.1";

// Keeps objects of one kind; a watch returns all changes since its revision.
class MemoryStore {
 public:
  MemoryStore(io::Runtime& runtime, std::uint16_t port) : runtime(runtime) {
    io::HttpServerSettings settings;
    settings.listen = {kMemoryStoreIp, port};
    auto created = io::HttpServer::Create(
        &runtime, settings,
        [this](io::HttpExchange& exchange) { this->Handle(exchange); },
        [](unsigned status, std::string_view) {
          return io::HttpResponse{status, {}, ""};
        });
    if (created.has_error()) {
      throw std::runtime_error(created.error().detail);
    }
    this->server = std::move(created).value();
  }

  std::map<std::string, boost::json::object> objects;  // by name
  bool available = true;
  int writes = 0;

 private:
  void Handle(io::HttpExchange& exchange) {
    if (!this->available) {
      return exchange.Respond({503, {}, ""});
    }
    const io::HttpRequest& request = exchange.Request();
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    if (request.method == "GET" && this->objects.contains(name)) {
      return exchange.Respond(
          {200, {}, boost::json::serialize(this->objects.at(name))});
    }
    if (request.method == "GET") {
      return request.QueryParameter("watch") ? this->Watch(exchange)
                                             : this->List(exchange);
    }
    ++this->writes;
    if (request.method == "DELETE") {
      this->Record(this->objects.at(name), true);
      this->objects.erase(name);
      return exchange.Respond({200, {}, "{}"});
    }
    boost::json::object object = boost::json::parse(request.body).as_object();
    boost::json::object& metadata = object.at("metadata").as_object();
    const std::string key(metadata.at("name").as_string());
    const auto known = this->objects.find(key);
    const bool conflict =
        known != this->objects.end() &&
        (request.method == "POST" ||
         metadata.at("rev") != known->second.at("metadata").at("rev"));
    if (conflict) {
      return exchange.Respond({409, {}, boost::json::serialize(known->second)});
    }
    metadata["rev"] = ++this->revision;
    this->objects[key] = object;
    this->Record(object, false);
    exchange.Respond({200, {}, boost::json::serialize(object)});
  }

  void Record(const boost::json::object& object, bool deleted) {
    this->revision += deleted ? 1 : 0;
    this->events.emplace_back(
        this->revision,
        boost::json::object{{"object", object}, {"deleted", deleted}});
  }

  void List(io::HttpExchange& exchange) const {
    boost::json::array items;
    for (const auto& [name, object] : this->objects) {
      items.push_back(object);
    }
    exchange.Respond(
        {200,
         {},
         boost::json::serialize(boost::json::object{
             {"items", items}, {"storeRevision", this->revision}})});
  }

  void Watch(io::HttpExchange& exchange) const {
    const std::uint64_t since =
        std::stoull(exchange.Request().QueryParameter("watch").value());
    for (int i = 0; i < 20 && this->revision <= since; ++i) {
      this->runtime.SleepFor(milliseconds(5));
    }
    boost::json::array newer;
    for (const auto& [at, event] : this->events) {
      if (at > since) {
        newer.push_back(event);
      }
    }
    exchange.Respond(
        {200,
         {},
         boost::json::serialize(boost::json::object{
             {"events", newer}, {"storeRevision", this->revision}})});
  }

  io::Runtime& runtime;
  std::uint64_t revision = 1;
  std::vector<std::pair<std::uint64_t, boost::json::object>> events;
  std::unique_ptr<io::HttpServer> server;
};

}  // namespace chervilpass
