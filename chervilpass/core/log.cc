#include "chervilpass/core/log.h"

#include <fmt/chrono.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <mutex>
#include <vector>

namespace chervilpass {
namespace {

constexpr std::string_view kLevelNames[] = {"debug", "info", "warning",
                                            "error"};

std::string_view LevelName(LogLevel level) {
  return kLevelNames[static_cast<int>(level)];
}

// Quotes empty values and those with separators, so that a line can be parsed.
std::string QuoteIfNeeded(const std::string& value) {
  const bool is_plain =
      !value.empty() && value.find_first_of(" =\"\n\r\t") == std::string::npos;
  return is_plain ? value : boost::json::serialize(boost::json::string(value));
}

std::string FormatUtc(std::int64_t wall_milliseconds) {
  const std::time_t seconds =
      static_cast<std::time_t>(wall_milliseconds / 1000);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     wall_milliseconds % 1000);
}

// Buffer of lines to write to standard output.
// Invariant: holds at most kMaxBufferSize bytes.
class LogBuffer {
 public:
  static LogBuffer& Instance() {
    static LogBuffer buffer;
    return buffer;
  }

  void Add(const std::string& line, bool flush_now) {
    const std::lock_guard lock(this->mutex);
    if (this->bytes.size() + line.size() > kMaxBufferSize) {
      ++this->dropped;
      return;
    }
    this->bytes += line;
    if (flush_now || this->bytes.size() >= kWriteSize) {
      this->WriteOut();
    }
  }

  void Flush(Duration max_wait) {
    const std::lock_guard lock(this->mutex);
    const auto until = std::chrono::steady_clock::now() + max_wait;
    this->WriteOut();
    while (!this->bytes.empty() && this->AwaitReader(until)) {
      this->WriteOut();
    }
  }

  std::uint64_t Dropped() {
    const std::lock_guard lock(this->mutex);
    return this->dropped;
  }

 private:
  // False if standard output is not writable by `until`.
  static bool AwaitReader(std::chrono::steady_clock::time_point until) {
    const auto left = duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    return left.count() > 0 &&
           ::poll(&ready, 1, static_cast<int>(left.count())) == 1 &&
           (ready.revents & POLLOUT) != 0;
  }

  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  void WriteOut() {
    std::size_t written = 0;
    while (written < this->bytes.size()) {
      pollfd ready{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        break;
      }
      const std::size_t size =
          std::min(kWriteSize, this->bytes.size() - written);
      const ssize_t size_written =
          ::write(STDOUT_FILENO, this->bytes.data() + written, size);
      if (size_written <= 0) {
        break;
      }
      written += static_cast<std::size_t>(size_written);
    }
    this->bytes.erase(0, written);
  }

  static constexpr std::size_t kWriteSize = PIPE_BUF;
  static constexpr std::size_t kMaxBufferSize = 256 * 1024;  // bytes

  std::mutex mutex;
  std::string bytes;
  std::uint64_t dropped = 0;
};

}  // namespace

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  for (int i = 0; i < 4; ++i) {
    if (kLevelNames[i] == text) {
      *level = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

std::string FormatLogLine(const LogSettings& settings,
                          LogLevel level,
                          std::int64_t wall_milliseconds,
                          std::string_view event,
                          const std::vector<LogField>& fields) {
  const std::string time = FormatUtc(wall_milliseconds);
  if (settings.format == LogFormat::kJson) {
    boost::json::object line;
    line["time"] = time;
    line["level"] = LevelName(level);
    line["program"] = settings.program;
    line["vm"] = settings.vm;
    line["event"] = event;
    for (const LogField& field : fields) {
      line[field.name] = field.value;
    }
    return boost::json::serialize(line);
  }
  std::string line = fmt::format("time={} level={} program={} vm={} event={}",
                                 time, LevelName(level), settings.program,
                                 QuoteIfNeeded(settings.vm), event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.name, QuoteIfNeeded(field.value));
  }
  return line;
}

Logger::Logger(LogSettings settings) : settings(std::move(settings)) {}

bool Logger::Enabled(LogLevel level) const {
  return level >= this->settings.level;
}

void Logger::Write(LogLevel level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) const {
  if (!this->Enabled(level)) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::int64_t wall =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::string line =
      FormatLogLine(this->settings, level, wall, event, fields) + "\n";
  LogBuffer::Instance().Add(line, level >= LogLevel::kError);
}

void FlushLog(Duration max_wait) {
  LogBuffer::Instance().Flush(max_wait);
}

std::uint64_t DroppedLogLines() {
  return LogBuffer::Instance().Dropped();
}

}  // namespace chervilpass
