// Client of the platform's object API: versioned objects with conditional
// updates and watches, and the list of VMs. Entity tags and conditional headers
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

/// A stored value with its version. Versions of an object only increase.
struct StoredObject {
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const StoredObject&) const = default;
};

/// An entry of the VM list.
struct ListedVm {
  std::string name;
  bool leaving = false;

  bool operator==(const ListedVm&) const = default;
};

/// Kind of a platform failure.
enum class PlatformErrorCode {
  kUnavailable,  ///< No response or a server error; a write may have taken
                 ///< effect.
  kNotSent,      ///< No connection; nothing was sent.
  kConflict,     ///< The object has another version, or already exists.
  kNotFound,
  kRateLimited,  ///< Over the platform's or this client's rate limit; no
                 ///< effect.
  kRefused,  ///< The platform rejected the request, or its response is invalid.
};

/// Error of the platform layer.
struct PlatformError {
  PlatformErrorCode code = PlatformErrorCode::kUnavailable;
  std::string detail;

  bool operator==(const PlatformError&) const = default;
};

/// Settings of an ObjectClient.
struct ObjectClientSettings {
  io::Endpoint address;
  Duration timeout = milliseconds(1000);
  double calls_per_second = 50;  ///< rate limit of this client, without watches
  double burst = 100;            ///< calls

  bool operator==(const ObjectClientSettings&) const = default;
};

/// Calls the object API and counts the calls by kind. Fiber thread only.
class ObjectClient {
 public:
  static std::unique_ptr<ObjectClient> Create(io::Runtime* runtime,
                                              MetricsRegistry* metrics,
                                              ObjectClientSettings settings);
  ~ObjectClient();

  /// Reads an object; kNotFound if it does not exist.
  Result<StoredObject, PlatformError> Get(const std::string& name);

  /// Creates an object and returns its version; kConflict if it exists.
  Result<std::uint64_t, PlatformError> CreateObject(const std::string& name,
                                                    const std::string& value);

  /// Replaces an object that still has `version` and returns the new version;
  /// kConflict if it has another one.
  Result<std::uint64_t, PlatformError> Update(const std::string& name,
                                              std::uint64_t version,
                                              const std::string& value);

  /// Waits until the object has a version above `version`; kNotFound or
  /// kUnavailable if there is none within `timeout`.
  Result<StoredObject, PlatformError> Watch(const std::string& name,
                                            std::uint64_t version,
                                            Duration timeout);

  /// The list of VMs, with those that are leaving.
  Result<std::vector<ListedVm>, PlatformError> ListVms();

 private:
  struct State;
  explicit ObjectClient(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::platform
