#include "chervilpass/core/log.h"

#include <fmt/chrono.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <mutex>
#include <vector>

#include "chervilpass/core/last_lines.h"

namespace chervilpass {
namespace {

// For the reader of a process that ends by a signal.
constexpr Duration kMaxCrashWait = milliseconds(50);
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

// A field does not replace what each line begins with.
std::string FieldName(const std::string& name) {
  const bool taken = name == "time" || name == "level" || name == "program" ||
                     name == "vm" || name == "event";
  return taken ? "field_" + name : name;
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

  // Without allocating, and without waiting for long: the thread that has the
  // lock may be the one that ends the process.
  void FlushAtCrash(Duration max_wait) {
    const auto until = std::chrono::steady_clock::now() + max_wait;
    bool locked = this->mutex.try_lock();
    while (!locked && std::chrono::steady_clock::now() < until) {
      ::poll(nullptr, 0, 1);
      locked = this->mutex.try_lock();
    }
    if (locked) {
      this->WriteOut();
      while (!this->bytes.empty() && this->AwaitReader(until)) {
        this->WriteOut();
      }
      this->mutex.unlock();
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

// The lines that name the signals by which a process may end, except for their
// times. Formatted in advance, because nothing may be allocated at that time.
class CrashLines {
 public:
  static CrashLines& Instance() {
    static CrashLines lines;
    return lines;
  }

  // Takes the settings of the first logger only: those of a process are alike.
  void Prepare(const LogSettings& settings) {
    const std::lock_guard lock(this->mutex);
    if (this->prepared) {
      return;
    }
    LogBuffer::Instance();  // exists from now on
    for (std::size_t number = 1; number < this->lines.size(); ++number) {
      this->lines[number] =
          FormatLogLine(settings, LogLevel::kError, 0,
                        "process.ended_by_signal", {{"number", number}}) +
          "\n";
    }
    this->time_position = this->lines[1].find(FormatUtc(0));
    this->prepared = true;
  }

  // Sets the time of the line.
  void Write(std::size_t number) {
    if (!this->prepared || number >= this->lines.size()) {
      return;
    }
    std::string& line = this->lines[number];
    this->SetTime(line.data() + this->time_position);
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0) {
      const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
      static_cast<void>(written);
    }
  }

  bool Prepared() const { return this->prepared; }

 private:
  // As FormatUtc does: 1970-01-01T00:00:00.000Z.
  static void SetTime(char* text) {
    using namespace std::chrono;
    const auto now = floor<milliseconds>(system_clock::now());
    const auto day = floor<days>(now);
    const year_month_day date(day);
    const hh_mm_ss time(now - day);
    SetDigits(text, 4, static_cast<int>(date.year()));
    SetDigits(text + 5, 2, static_cast<unsigned>(date.month()));
    SetDigits(text + 8, 2, static_cast<unsigned>(date.day()));
    SetDigits(text + 11, 2, time.hours().count());
    SetDigits(text + 14, 2, time.minutes().count());
    SetDigits(text + 17, 2, time.seconds().count());
    SetDigits(text + 20, 3, time.subseconds().count());
  }

  static void SetDigits(char* text, int digits, std::int64_t value) {
    for (int i = digits - 1; i >= 0; --i) {
      text[i] = static_cast<char>('0' + value % 10);
      value /= 10;
    }
  }

  // Of the signals that have a meaning of their own.
  static constexpr std::size_t kSignals = 32;

  std::mutex mutex;
  std::array<std::string, kSignals> lines;  // by signal
  std::size_t time_position = 0;            // in each line
  std::atomic<bool> prepared = false;
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
    line["event"] = event;
    for (const LogField& field : fields) {
      line[FieldName(field.name)] = field.value;
    }
    // Last: collectors that shorten lines know where a line is from.
    line["program"] = settings.program;
    line["vm"] = settings.vm;
    return boost::json::serialize(line);
  }
  std::string line =
      fmt::format("time={} level={} event={}", time, LevelName(level), event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", FieldName(field.name),
                        QuoteIfNeeded(field.value));
  }
  return line + fmt::format(" program={} vm={}", settings.program,
                            QuoteIfNeeded(settings.vm));
}

Logger::Logger(LogSettings settings) : settings(std::move(settings)) {
  CrashLines::Instance().Prepare(this->settings);
}

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

void WriteLastLines(int signal_number) {
  CrashLines& lines = CrashLines::Instance();
  if (lines.Prepared()) {
    LogBuffer::Instance().FlushAtCrash(kMaxCrashWait);
    lines.Write(static_cast<std::size_t>(signal_number));
  }
}

std::uint64_t DroppedLogLines() {
  return LogBuffer::Instance().Dropped();
}

}  // namespace chervilpass
