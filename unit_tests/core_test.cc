// Tests of hashes, text helpers, log lines, metrics and the rate limiter.
#include <criterion/criterion.h>

#include <set>

#include "chervilpass/core/hash.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/random.h"
#include "chervilpass/core/recent_delays.h"
#include "chervilpass/core/text.h"
#include "chervilpass/core/time_share.h"
#include "chervilpass/core/token_bucket.h"

using namespace chervilpass;

Test(hash, sha256_matches_the_published_vector) {
  // FIPS 180-2, appendix B.1.
  cr_assert(Sha256Hex("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(hash, random_ids_differ) {
  std::set<std::string> ids;
  for (int i = 0; i < 1000; ++i) {
    ids.insert(RandomId());
  }
  cr_assert_eq(ids.size(), 1000);
}

Test(random, same_seed_gives_same_numbers) {
  Random a(7);
  Random b(7);
  for (int i = 0; i < 100; ++i) {
    cr_assert_eq(a.Next(), b.Next());
  }
}

Test(text, nearest_name_corrects_a_misspelling) {
  const std::vector<std::string> known = {"listen", "control", "region"};
  cr_assert(NearestName("lisen", known) == "listen");
  cr_assert(!NearestName("zzzzzzzz", known).has_value());
}

Test(text, identifiers_have_limited_length_and_characters) {
  cr_assert(IsIdentifier("hal-1.a_b"));
  cr_assert(!IsIdentifier(""));
  cr_assert(!IsIdentifier("Has Space"));
  cr_assert(!IsIdentifier(std::string(65, 'a')));
}

Test(log, line_has_all_fields_and_quotes_values_with_spaces) {
  const std::string line = FormatLogLine(
      {"chervil-entry", "vm-1", LogLevel::kInfo, LogFormat::kKeyValue},
      LogLevel::kWarning, 1700000000123, "route.cell",
      {{"request", "r 1"}, {"count", 3}});
  cr_assert(line ==
            "time=2023-11-14T22:13:20.123Z level=warning event=route.cell "
            "request=\"r 1\" count=3 program=chervil-entry vm=vm-1");
}

Test(log, json_line_escapes_quotes) {
  const std::string line =
      FormatLogLine({"p", "v", LogLevel::kInfo, LogFormat::kJson},
                    LogLevel::kInfo, 0, "e", {{"detail", "a \"quoted\" word"}});
  cr_assert(line ==
            "{\"time\":\"1970-01-01T00:00:00.000Z\",\"level\":\"info\","
            "\"event\":\"e\",\"detail\":\"a \\\"quoted\\\" word\","
            "\"program\":\"p\",\"vm\":\"v\"}");
}

Test(log, field_does_not_replace_the_writer_of_a_json_line) {
  const std::string line =
      FormatLogLine({"p", "v", LogLevel::kInfo, LogFormat::kJson},
                    LogLevel::kInfo, 0, "e", {{"vm", "another"}, {"a", 1}});
  cr_assert(line ==
            "{\"time\":\"1970-01-01T00:00:00.000Z\",\"level\":\"info\","
            "\"event\":\"e\",\"field_vm\":\"another\",\"a\":\"1\","
            "\"program\":\"p\",\"vm\":\"v\"}");
}

Test(metrics, prometheus_text_has_counters_and_quantiles) {
  MetricsRegistry metrics;
  metrics.Increment("a_total", "code=\"1\"", 2);
  metrics.Set("b", "", 1.5);
  for (int i = 1; i <= 100; ++i) {
    metrics.Observe("c_seconds", milliseconds(i));
  }
  const std::string text = metrics.PrometheusText();
  cr_assert(text.find("# TYPE a_total counter\na_total{code=\"1\"} 2\n") !=
            std::string::npos);
  cr_assert(text.find("# TYPE b gauge\nb 1.5\n") != std::string::npos);
  cr_assert(text.find("c_seconds_count 100\n") != std::string::npos);
  cr_assert(text.find("c_seconds{quantile=\"0.95\"} 0.09") !=
            std::string::npos);
}

Test(token_bucket, never_exceeds_rate_and_burst) {
  const Instant start{};
  TokenBucket bucket(10, 5, start);
  int taken = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    taken += bucket.TryTake(start + milliseconds(ms)) ? 1 : 0;
  }
  cr_assert_leq(taken, 15);
  cr_assert_geq(taken, 14);
}

// Guards against a leaving VM that ends early because of a single delay.
Test(recent_delays, a_lasting_delay_counts_until_it_ends) {
  RecentDelays delays;
  const auto add = [&delays](Duration delay, int times) {
    for (int i = 0; i < times; ++i) {
      delays.Add(delay);
    }
  };
  add(milliseconds(1), 8);
  add(milliseconds(300), 3);
  cr_expect(delays.Lasting() == milliseconds(1));
  add(milliseconds(200), 2);
  cr_expect(delays.Lasting() == milliseconds(200));
  add(milliseconds(1), 5);
  cr_expect(delays.Lasting() == milliseconds(1));
}

Test(time_share, turns_are_spaced_by_their_duration) {
  const Instant start{seconds(100)};
  TimeShareSettings settings;
  settings.share = 0.25;
  settings.max_turn = milliseconds(2);
  TimeShare share(settings);
  const auto reserve = [&share, start](Duration at) {
    return *share.Reserve(start + at, Instant::max()) - start;
  };
  cr_assert(reserve(milliseconds(0)) == milliseconds(0));
  share.OnTurn(milliseconds(1));
  // The turn that was reserved before has no spacing yet.
  cr_assert(reserve(milliseconds(1)) == milliseconds(1));
  cr_assert(reserve(milliseconds(1)) == milliseconds(5));
  cr_assert(reserve(milliseconds(1)) == milliseconds(9));
  // Time without turns is not made up for.
  cr_assert(reserve(seconds(1)) == seconds(1));
  share.OnTurn(seconds(1));
  cr_assert(reserve(seconds(2)) == seconds(2));
  cr_assert(reserve(seconds(2)) == seconds(2) + milliseconds(8));
}

// Guards against turns that move away without end while more are wanted than
// there is time for.
Test(time_share, a_turn_that_would_be_too_late_is_not_reserved) {
  const Instant start{seconds(100)};
  TimeShare share(TimeShareSettings{});
  share.OnTurn(milliseconds(1));
  for (int i = 0; i < 1000; ++i) {
    share.Reserve(start, start + milliseconds(10));
  }
  cr_assert(!share.Reserve(start, start + milliseconds(10)));
  cr_assert(share.Reserve(start + milliseconds(10), start + milliseconds(20)) ==
            start + milliseconds(12));
}
