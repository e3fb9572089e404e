// A TCP proxy whose open connections can fall silent, without a reset, while
// new ones work, or which holds everything back for a while.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chervilpass {

/// Runs on threads of its own. Destroying it closes all connections.
class SilentProxy {
 public:
  /// Accepts connections at `port` of `ip` and passes them on to `target_port`
  /// there.
  SilentProxy(const std::string& ip,
              std::uint16_t port,
              std::uint16_t target_port)
      : target(boost::asio::ip::make_address(ip), target_port),
        acceptor(this->context,
                 Tcp::endpoint(boost::asio::ip::make_address(ip), port)),
        accepting([this] { this->Accept(); }) {}

  ~SilentProxy() {
    this->stopping = true;
    boost::system::error_code ignored;
    Tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (const auto& connection : this->connections) {
      connection->Close();
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  /// Passes no more bytes on open connections.
  void SilenceOpenConnections() { ++this->epoch; }

  /// Holds all bytes back, also those of new connections, until `Resume`.
  void Pause() { this->paused = true; }
  void Resume() { this->paused = false; }

 private:
  using Tcp = boost::asio::ip::tcp;

  struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : caller(context), server(context) {}

    void Close() {
      boost::system::error_code ignored;
      this->caller.shutdown(Tcp::socket::shutdown_both, ignored);
      this->server.shutdown(Tcp::socket::shutdown_both, ignored);
    }

    Tcp::socket caller;
    Tcp::socket server;
    int epoch = 0;
  };

  void Accept() {
    while (true) {
      auto connection = std::make_shared<Connection>(this->context);
      boost::system::error_code error;
      this->acceptor.accept(connection->caller, error);
      if (this->stopping || error) {
        return;
      }
      connection->epoch = this->epoch;
      connection->server.connect(this->target, error);
      if (error) {
        continue;
      }
      this->connections.push_back(connection);
      this->threads.emplace_back([this, connection] {
        this->Pass(*connection, connection->caller, connection->server);
      });
      this->threads.emplace_back([this, connection] {
        this->Pass(*connection, connection->server, connection->caller);
      });
    }
  }

  void Pass(Connection& connection, Tcp::socket& from, Tcp::socket& to) {
    std::vector<char> bytes(4096);
    boost::system::error_code error;
    while (true) {
      const std::size_t size =
          from.read_some(boost::asio::buffer(bytes), error);
      while (this->paused && !this->stopping) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      const bool silent = connection.epoch != this->epoch;
      if (error) {
        if (!silent) {
          connection.Close();
        }
        return;
      }
      if (!silent) {
        boost::asio::write(to, boost::asio::buffer(bytes, size), error);
      }
    }
  }

  boost::asio::io_context context;
  const Tcp::endpoint target;
  Tcp::acceptor acceptor;
  std::atomic<int> epoch = 0;
  std::atomic<bool> stopping = false;
  std::atomic<bool> paused = false;
  // Used by the accepting thread until it has ended.
  std::vector<std::shared_ptr<Connection>> connections;
  std::vector<std::thread> threads;
  std::thread accepting;
};

}  // namespace chervilpass
