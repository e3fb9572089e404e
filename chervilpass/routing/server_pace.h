// The pace at which a server that has started or come back takes up load: a
// share of its full load for each start of a server. The share grows while the
// server's answers match what its kind and load predict, and shrinks while they
// do not. See docs/design/server-pacing.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Settings of a ServerPace.
struct ServerPaceSettings {
  double first_share = 0.1;     ///< of a new start
  double warming_share = 0.05;  ///< of a new start that states a warm-up
  /// Of a server that has come back; halved with each further outage within
  /// `flap_window`.
  double returned_share = 0.25;
  double min_share = 0.02;
  Duration flap_window = seconds(60);
  /// Factors of a round of good and of bad answers.
  double growth = 1.5;
  double shrink = 0.7;
  /// First step of the growth above nine tenths of a share that was too high;
  /// doubles with each good round.
  double probing_step = 0.05;
  /// The share grows at most by this factor in a growth interval, whoever has
  /// observed the answers: the effect of a growth is seen after some time.
  double max_growth = 2;
  /// At least the time of an answer.
  Duration min_growth_interval = milliseconds(300);
  /// Answers are good up to this multiple of the predicted time.
  double tolerance = 1.5;
  /// Least weight of one server in the time of a stream on many: the effect of
  /// a smaller one is lost in the variation of the others.
  double min_weight = 0.3;
  double max_ratio = 4;  ///< bounds the effect of a single answer
  /// A round is as large as what this VM may have in flight: the first answers
  /// to come are faster than the rest. With fewer requests it ends after this
  /// many answers and twice the time of an answer.
  std::uint32_t min_round = 8;
  /// Good answers in a row after which a server whose share exceeds what it
  /// would be given anyway is no longer paced.
  std::uint32_t answers_to_end = 8;
  double min_end_share = 0.2;
  double end_margin = 1.25;  ///< factor of the load that it would be given
  /// Servers that are seen within this time after the first one were in service
  /// before this VM.
  Duration settle_time = seconds(3);
  /// Without any answer other VMs get their turn after this time.
  Duration retry_interval = seconds(1);
  /// Statements of other VMs that are older do not count.
  Duration statement_lifetime = seconds(5);
  /// A VM takes over the paces of other VMs for servers that it found in
  /// service for this time after its start; later it has seen all starts
  /// itself.
  Duration learn_time = seconds(10);
  /// A start that is no longer registered is forgotten after this time. An
  /// outage of the store may remove registrations of servers that run on.
  Duration forget_time = std::chrono::minutes(10);
  /// A change by this factor is reported.
  double report_factor = 2;

  bool operator==(const ServerPaceSettings&) const = default;
};

/// What an answer of a server shows.
enum class PaceEvidence {
  kAnswered,
  kRefused,
  kFailed,  ///< Includes lost connections.
};

/// One answer of a paced server.
struct PaceObservation {
  PaceEvidence evidence = PaceEvidence::kAnswered;
  Instant sent{};    ///< time of the request
  double ratio = 1;  ///< of the observed to the predicted time
  /// Share of the predicted time that the server accounts for.
  double weight = 1;
  /// Utilisation that the server would have without pacing.
  double demand = 1;
  double slots = 1;  ///< requests that the server can run at the same time

  bool operator==(const PaceObservation&) const = default;
};

/// Why a share has changed.
enum class PaceCause {
  kNewStart,
  kOutage,
  kAnswers,  ///< of this VM
  kLearnt,   ///< from other VMs
  kCleared,  ///< The outage was this VM's own.
};

/// Name of a cause in the log.
std::string_view PaceCauseName(PaceCause cause);

/// A change of the share of a start, and what it rests on.
struct PaceChange {
  std::string start;
  double before = 1;
  double after = 1;
  PaceCause cause = PaceCause::kAnswers;
  std::uint32_t answers = 0;  ///< of the round
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  double mean_ratio = 0;         ///< of the answers in the round
  std::uint32_t statements = 0;  ///< of other VMs
  Duration warm_up_left{0};
  Duration age{0};        ///< of the latest observation
  Duration paced_for{0};  ///< since the start of the pacing
  bool ended = false;     ///< it is no longer paced

  bool operator==(const PaceChange&) const = default;
};

/// A start of a server that is in service.
struct PacedStart {
  std::string start;  ///< id and start
  Duration warm_up_left{0};

  bool operator==(const PacedStart&) const = default;
};

/// What a VM states about the share of a start.
struct PaceStatement {
  std::uint64_t start = 0;  ///< PaceStartKey
  double share = 1;
  Instant at{};  ///< when the stating VM last judged a round of answers

  bool operator==(const PaceStatement&) const = default;
};

/// Returns the share that follows from this VM's own one and the statements of
/// other VMs, one of each, that are younger. `own_counts` if it rests on recent
/// answers. With two or more statements it is the lower median, so that a
/// single VM cannot set it; a single statement moves it by one step at most.
double MergedShare(double own,
                   bool own_counts,
                   const std::vector<double>& statements,
                   const ServerPaceSettings& settings);

/// Keyed by start of a server. Not thread-safe.
/// Invariants: shares are in [min_share, 1]; starts without a record have the
/// share 1; statements of other VMs never make a share grow faster than
/// max_growth in a growth interval.
class ServerPace {
 public:
  /// `vm` is the key of this VM, by PaceVmKey.
  ServerPace(ServerPaceSettings settings, std::uint64_t vm)
      : settings(settings), vm(vm), fleet{vm} {}

  /// Sets the starts that are registered now: new ones are paced, those that
  /// are gone are forgotten.
  void OnStarts(const std::vector<PacedStart>& starts, Instant now);

  /// Sets the keys of the VMs that are alive, this one included. A VM that
  /// hears no other keeps the last list: the others still send.
  void SetFleet(std::vector<std::uint64_t> vms, Instant now);

  /// The server could not be used for some time: it is paced once it is back.
  void OnOutage(const std::string& start, Instant now);

  /// Recent outages were faults of this VM: ends the pacing that they caused.
  void ClearOutages(Instant now);

  /// Records an answer; only those of requests that were sent since the last
  /// change of the share count, so that each change is judged by its effect.
  void OnAnswer(const std::string& start,
                const PaceObservation& observation,
                Instant now);

  /// Records the statements of another VM.
  void OnStatements(const std::string& peer,
                    const std::vector<PaceStatement>& statements,
                    Instant now);

  /// What this VM has observed itself recently, latest first.
  std::vector<PaceStatement> Statements(std::size_t max, Instant now) const;

  /// To be called a few times a second.
  void Tick(Instant now);

  /// True if no server is paced: all shares are 1.
  bool NonePaced() const { return this->paced == 0; }
  std::size_t Paced() const { return this->paced; }
  bool IsPaced(const std::string& start) const;

  /// Share of the full load of a start.
  double ShareOf(const std::string& start) const;

  /// Requests that this VM may have in flight at a start with `slots`.
  std::uint32_t OwnPartOf(const std::string& start, double slots) const;

  /// The reported changes since the last call.
  std::vector<PaceChange> TakeChanges();

 private:
  struct Round {
    std::uint32_t answers = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    double ratios = 0;  ///< sum
    double excess = 0;  ///< sum, 1 at the limit of good answers
  };

  struct Record {
    double share = 1;  ///< from own answers and the majority of other VMs
    double step = 1;   ///< factor that a single VM's statement adds
    bool ended = false;
    bool registered = true;
    Instant begun{};
    Instant warm_until{};
    Duration stated_warm_up{0};
    Instant judged_from{};  ///< requests that were sent before do not count
    std::optional<Instant> observed;  ///< latest answer to this VM
    std::optional<Instant> judged;    ///< end of the latest round of this VM
    std::optional<Instant> heard;     ///< latest judgement of another VM
    Duration answer_time{0};          ///< smoothed
    double base_share = 0;            ///< at the begin of the growth interval
    Instant base_at{};
    double suspected_limit = 1;  ///< lately too high
    double probing_step = 0;
    std::uint32_t good_in_row = 0;
    std::uint32_t outages = 0;  ///< within the flap window of each other
    std::optional<Instant> last_outage;
    double share_before_outage = 1;
    double reported = 1;
    std::uint64_t turn = 0;        ///< order of the VMs
    Instant turn_at{};             ///< begin of the turn
    std::size_t rank = 0;          ///< of this VM
    std::uint32_t statements = 0;  ///< of other VMs, at the last merge
    Round round;
  };

  struct Known {
    std::string start;
    Instant last_seen{};
  };

  struct HeardStatement {
    std::uint64_t peer = 0;
    double share = 1;
    Instant at{};
  };

  using Entry = std::pair<const std::string, Record>;

  double Effective(const Record& record) const;
  void EndRound(Entry* entry, double demand, Instant now);
  double NextShare(Record* record, bool bad) const;
  double LimitGrowth(Record* record, double share, Instant now) const;
  void SetShare(Entry* entry, double share, PaceCause cause, Instant now);
  void Report(Entry* entry, double before, PaceCause cause, Instant now);
  void Merge(Entry* entry, Instant now);
  double MajorityBound(const Entry& entry, Instant now) const;
  void LearnUnknown(std::uint64_t start, Instant now);
  void UpdateRank(Entry* entry, Instant now) const;
  void CountPaced();
  std::vector<HeardStatement> HeardOf(std::uint64_t start, Instant now) const;
  Entry* Begin(const std::string& start,
               double share,
               PaceCause cause,
               Instant now);

  ServerPaceSettings settings;
  std::uint64_t vm;
  std::vector<std::uint64_t> fleet;
  std::optional<Instant> first_seen;
  std::unordered_map<std::uint64_t, Known> known;  ///< starts by key
  std::map<std::string, Record> records;           ///< paced, or lately so
  std::unordered_map<std::uint64_t, std::vector<HeardStatement>> heard;
  std::vector<PaceChange> changes;
  std::size_t paced = 0;
};

}  // namespace chervilpass::routing
