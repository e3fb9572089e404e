// Client of the platform's object API: versioned objects with conditional
// updates and watches, and the VM list. Entity tags and conditional headers
// follow RFC 9110.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/metrics.h"
#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::platform {

/// A stored value with its version; versions of one object only rise.
struct StoredObject {
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const StoredObject&) const = default;
};

/// What the VM list says of one VM.
struct ListedVm {
  std::string name;
  bool leaving = false;

  bool operator==(const ListedVm&) const = default;
};

enum class PlatformErrorCode {
  kUnavailable,  ///< No answer; a write may or may not have taken effect.
  kNotSent,      ///< Nothing was sent.
  kConflict,     ///< The object has another version, or exists already.
  kNotFound,
  kLimited,  ///< Over the platform's or our own rate; nothing took effect.
  kRefused,  ///< The platform says the request is wrong.
};

/// Error of the platform layer.
struct PlatformError {
  PlatformErrorCode code = PlatformErrorCode::kUnavailable;
  std::string detail;

  bool operator==(const PlatformError&) const = default;
};

/// Describes an ObjectClient.
struct ObjectClientSettings {
  io::Endpoint address;
  Duration timeout = milliseconds(1000);
  double calls_per_second = 50;  ///< budget of this process, watches aside
  double burst = 100;            ///< calls

  bool operator==(const ObjectClientSettings&) const = default;
};

/// Calls the object API and counts each call by kind. Fiber thread only.
class ObjectClient {
 public:
  static std::unique_ptr<ObjectClient> Create(io::Runtime* runtime,
                                              MetricsRegistry* metrics,
                                              ObjectClientSettings settings);
  ~ObjectClient();

  Result<StoredObject, PlatformError> Get(const std::string& name);

  /// Makes an object that must not exist; returns its version.
  Result<std::uint64_t, PlatformError> CreateObject(const std::string& name,
                                                    const std::string& value);

  /// Replaces an object if it still has `version`; returns the new one.
  Result<std::uint64_t, PlatformError> Update(const std::string& name,
                                              std::uint64_t version,
                                              const std::string& value);

  /// Waits until the object has a version above `version`; kNotFound or
  /// kUnavailable if there is none within `timeout`.
  Result<StoredObject, PlatformError> Watch(const std::string& name,
                                            std::uint64_t version,
                                            Duration timeout);

  Result<std::vector<ListedVm>, PlatformError> ListVms();

 private:
  struct State;
  explicit ObjectClient(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::platform
