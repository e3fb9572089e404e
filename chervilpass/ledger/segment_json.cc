#include "chervilpass/ledger/segment_json.h"

#include <openssl/evp.h>

#include <boost/json.hpp>

namespace chervilpass::ledger {
namespace {

namespace json = boost::json;

// Encodes to base64: JSON text must be UTF-8, but bodies can hold any bytes.
std::string Encode(const std::string& bytes) {
  const std::size_t size = 4 * ((bytes.size() + 2) / 3);
  std::string text(size + 1, '\0');  // EVP appends a null byte.
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  text.resize(size);
  return text;
}

std::string Decode(std::string_view text) {
  std::string bytes(3 * (text.size() / 4), '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  // EVP counts the padding as zero bytes.
  const std::size_t padding =
      text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size) - padding);
  return bytes;
}

json::object WriteEntry(const LedgerEntry& entry) {
  json::object object = {{"org", entry.key.organisation},
                         {"key", entry.key.key},
                         {"attempt", entry.attempt},
                         {"at", entry.at.milliseconds}};
  if (const auto* claimed = std::get_if<Claimed>(&entry.event)) {
    object["claimed"] = claimed->digest;
  } else if (const auto* completed = std::get_if<Completed>(&entry.event)) {
    json::array headers;
    for (const io::HttpHeader& field : completed->outcome.headers.All()) {
      headers.push_back(json::array{field.name, field.value});
    }
    object["done"] = json::object{{"status", completed->outcome.status},
                                  {"headers", headers},
                                  {"body", Encode(completed->outcome.body)},
                                  {"whole", completed->body_kept}};
  } else {
    object["released"] = true;
  }
  return object;
}

Completed ReadCompleted(const json::object& object) {
  Completed completed;
  completed.outcome.status = object.at("status").to_number<unsigned>();
  for (const json::value& field : object.at("headers").as_array()) {
    const json::array& pair = field.as_array();
    completed.outcome.headers.Add(std::string(pair.at(0).as_string()),
                                  std::string(pair.at(1).as_string()));
  }
  completed.outcome.body = Decode(object.at("body").as_string());
  completed.body_kept = object.at("whole").as_bool();
  return completed;
}

LedgerEntry ReadEntry(const json::object& object) {
  LedgerEntry entry;
  entry.key.organisation = std::string(object.at("org").as_string());
  entry.key.key = std::string(object.at("key").as_string());
  entry.attempt = std::string(object.at("attempt").as_string());
  entry.at.milliseconds = object.at("at").to_number<std::int64_t>();
  if (const json::value* claimed = object.if_contains("claimed")) {
    entry.event = Claimed{claimed->to_number<std::uint64_t>()};
  } else if (const json::value* completed = object.if_contains("done")) {
    entry.event = ReadCompleted(completed->as_object());
  } else {
    entry.event = Released{};
  }
  return entry;
}

}  // namespace

std::string ToJson(const Segment& segment) {
  json::array entries;
  entries.reserve(segment.entries.size());
  for (const LedgerEntry& entry : segment.entries) {
    entries.push_back(WriteEntry(entry));
  }
  return json::serialize(
      json::object{{"sealed", segment.sealed}, {"entries", entries}});
}

std::optional<Segment> SegmentFromJson(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  if (error) {
    return std::nullopt;
  }
  // Missing or ill-typed fields are reported by exception in Boost.JSON.
  try {
    Segment segment;
    segment.sealed = value.as_object().at("sealed").as_bool();
    for (const json::value& item : value.as_object().at("entries").as_array()) {
      segment.entries.push_back(ReadEntry(item.as_object()));
    }
    return segment;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chervilpass::ledger
