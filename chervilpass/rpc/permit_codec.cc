#include "chervilpass/rpc/permit_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

#include "chervilpass/rpc/codec.h"

namespace chervilpass::rpc {
namespace {

constexpr std::uint64_t kMaxMessageWords = 512;

std::uint32_t ToMicroseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

void WriteLimit(const AgedRateLimit& limit, schema::Permit::Builder to) {
  to.setLimited(limit.per_second.has_value());
  to.setPerSecond(limit.per_second.value_or(0));
  to.setAgeMs(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(ToMilliseconds(limit.age), 0, UINT32_MAX)));
}

AgedRateLimit ReadLimit(schema::Permit::Reader from) {
  AgedRateLimit limit;
  limit.age = milliseconds(from.getAgeMs());
  const double per_second = from.getPerSecond();
  if (from.getLimited() && std::isfinite(per_second) && per_second >= 0) {
    limit.per_second = per_second;
  }
  return limit;
}

void WriteMessage(const PermitRequest& request, schema::Permit::Builder to) {
  to.setSequence(request.sequence);
  to.setServer(request.server);
  to.setWaitUs(ToMicroseconds(request.max_wait));
  WriteLimit(request.limit, to);
}

void WriteMessage(const PermitReply& reply, schema::Permit::Builder to) {
  to.setSequence(reply.sequence);
  to.setReply(true);
  to.setGranted(reply.granted);
  to.setWaitUs(ToMicroseconds(reply.wait));
  WriteLimit(reply.limit, to);
}

PermitMessage ReadMessage(schema::Permit::Reader from) {
  const Duration wait = std::chrono::microseconds(from.getWaitUs());
  if (from.getReply()) {
    return PermitReply{from.getSequence(), from.getGranted(), wait,
                       ReadLimit(from)};
  }
  return PermitRequest{from.getSequence(), from.getServer().cStr(),
                       ReadLimit(from), wait};
}

}  // namespace

std::string EncodePermitMessage(const PermitMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::Permit>();
  std::visit([&root](const auto& item) { WriteMessage(item, root); }, message);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<PermitMessage> DecodePermitMessage(std::string_view bytes) {
  std::optional<PermitMessage> message;
  // Cap'n Proto reports malformed input by exception.
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader reader(stream, options);
    message = ReadMessage(reader.getRoot<schema::Permit>());
  });
  return exception == nullptr ? message : std::nullopt;
}

}  // namespace chervilpass::rpc
