#include "chervilpass/admission/refusal.h"

#include <array>
#include <cassert>

namespace chervilpass::admission {
namespace {

// Status and name of a refusal code.
struct RefusalRow {
  unsigned status;
  std::string_view name;
};

// Indexed by RefusalCode; no code has the value 0.
constexpr std::array<RefusalRow, 20> kRows = {{
    {500, "internal"},           {400, "malformed"},
    {413, "too-large"},          {401, "unauthorized"},
    {404, "not-found"},          {408, "deadline-passed"},
    {422, "key-reused"},         {400, "key-required"},
    {409, "in-progress"},        {409, "outcome-unknown"},
    {429, "overloaded"},         {503, "no-backend"},
    {502, "backend-failed"},     {422, "quarantined"},
    {503, "store-unavailable"},  {503, "leaving"},
    {503, "not-ready"},          {504, "timed-out"},
    {405, "method-not-allowed"}, {501, "not-implemented"},
}};

const RefusalRow& RowOf(RefusalCode code) {
  const auto index = static_cast<std::size_t>(code);
  assert(index < kRows.size());
  return kRows[index];
}

}  // namespace

unsigned HttpStatus(RefusalCode code) {
  return RowOf(code).status;
}

unsigned HttpStatus(const Refusal& refusal) {
  const unsigned status = HttpStatus(refusal.code);
  if (refusal.executed == Executed::kNo) {
    return status == 502 ? 503 : status;
  }
  switch (status) {
    case 429:
    case 503:
      return 502;
    case 408:
      return 504;
    default:
      return status;
  }
}

std::string_view RefusalName(RefusalCode code) {
  return RowOf(code).name;
}

std::string_view ExecutedName(Executed executed) {
  constexpr std::string_view kNames[] = {"no", "yes", "unknown"};
  return kNames[static_cast<std::size_t>(executed)];
}

}  // namespace chervilpass::admission
