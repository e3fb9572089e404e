#include "chervilpass/fleet/entry_record.h"

#include "platform/json_fields.h"

namespace chervilpass::fleet {

boost::json::value EncodeEntry(const EntryRecord& record) {
  const membership::Member& member = record.member;
  boost::json::object body;
  body["ip"] = member.ip;
  body["data_centre"] = member.data_centre;
  body["region"] = member.region;
  body["http_port"] = member.http_port;
  body["control_port"] = member.control_port;
  body["gossip_port"] = member.gossip_port;
  body["forward_port"] = member.forward_port;
  body["boot_id"] = member.boot_id;
  if (record.stop_ends) {
    body["stop_ends_ms"] = record.stop_ends->milliseconds;
  }
  return body;
}

std::optional<EntryRecord> DecodeEntry(const std::string& name,
                                       const boost::json::value& body) {
  platform::JsonFields fields(body, name);
  EntryRecord record;
  membership::Member& member = record.member;
  member.vm = name;
  member.ip = fields.Text("ip");
  member.data_centre = fields.Text("data_centre");
  member.region = fields.Text("region");
  member.http_port = static_cast<std::uint16_t>(fields.Integer("http_port"));
  member.control_port =
      static_cast<std::uint16_t>(fields.Integer("control_port"));
  member.gossip_port =
      static_cast<std::uint16_t>(fields.Integer("gossip_port"));
  // Earlier builds store neither of the following two.
  member.forward_port =
      static_cast<std::uint16_t>(fields.IntegerOr("forward_port", 0));
  if (fields.Find("stop_ends_ms") != nullptr) {
    record.stop_ends =
        WallTime{static_cast<std::int64_t>(fields.Integer("stop_ends_ms"))};
  }
  member.boot_id = fields.Integer("boot_id");
  return fields.FirstError() ? std::nullopt : std::optional(record);
}

}  // namespace chervilpass::fleet
