# Messages between the daemons of chervilpass. Regenerate the committed code
# with scripts/generate_rpc after a change.
@0xb3d1c2a4e5f60718;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chervilpass::rpc::schema");

enum Executed {
  no @0;
  yes @1;
  unknown @2;
}

struct Refusal {
  code @0 :UInt16;
  executed @1 :Executed;
  retryAfterMs @2 :UInt32;   # 0: a retry does not help
  detail @3 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CompletionRequest {
  requestId @0 :Text;
  organisation @1 :Text;
  pipeline @2 :Text;
  cell @3 :UInt32;
  prompt @4 :List(UInt32);      # token ids
  accepted @5 :List(UInt32);    # token ids the caller has already
  maxTokens @6 :UInt32;
  seed @7 :UInt64;
  epoch @8 :UInt32;             # increases with each attempt of one request
  deadlineMs @9 :UInt32;        # from now
  fingerprint @10 :UInt64;
  session @11 :Text;            # name of the session on the engines
}

struct CompletionOutcome {
  union {
    finished @0 :UInt32;        # tokens generated
    refusal @1 :Refusal;
  }
  inFlight @2 :UInt32;          # sessions of the cell
  capacity @3 :UInt32;
}

struct ServiceRequest {
  requestId @0 :Text;
  organisation @1 :Text;
  service @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  idempotencyKey @7 :Text;      # empty: the call may be retried without one
  deadlineMs @8 :UInt32;
}

struct ServiceOutcome {
  union {
    answer :group {
      status @0 :UInt16;
      headers @1 :List(Header);
      body @2 :Data;
    }
    refusal @3 :Refusal;
  }
  replayed @4 :Bool;            # an earlier outcome, returned again
}

struct ClaimState {
  union {
    absent @0 :Void;
    running @1 :Void;
    done :group {
      status @2 :UInt16;
      headers @3 :List(Header);
      body @4 :Data;
    }
    unknown @5 :Void;
    unavailable @6 :Text;
  }
}

interface TokenSink {
  token @0 (index :UInt32, token :UInt32) -> stream;
  heartbeat @1 () -> stream;    # the attempt is queued or running
}

interface Dispatch {
  complete @0 (request :CompletionRequest, sink :TokenSink)
      -> (outcome :CompletionOutcome);
  callService @1 (request :ServiceRequest) -> (outcome :ServiceOutcome);
  claimState @2 (organisation :Text, key :Text) -> (state :ClaimState);
}

struct Member {
  vm @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  ip @3 :Text;
  httpPort @4 :UInt16;
  dispatchPort @5 :UInt16;
  controlPort @6 :UInt16;
  gossipPort @7 :UInt16;
  bootId @8 :UInt64;
  incarnation @9 :UInt64;
  status @10 :UInt8;            # membership::Status
  entryUp @11 :Bool;
  dispatchUp @12 :Bool;
  configVersion @13 :UInt64;
  storeUp @14 :Bool;
  forwardPort @15 :UInt16;
  cutOff @16 :Bool;
}

struct Strike {
  fingerprint @0 :UInt64;
  worker @1 :Text;
  wallMs @2 :Int64;
  prior @3 :UInt32;             # independent strikes known when the run began
}

struct Clearance {
  fingerprint @0 :UInt64;
  wallMs @1 :Int64;
}

struct View {
  generation @0 :UInt64;
  members @1 :List(Member);
  configVersion @2 :UInt64;
  config @3 :Data;              # JSON; empty if the receiver has this version
  strikes @4 :List(Strike);
  leavingBackends @5 :List(Text);
}

struct ConfigChanges {
  version @0 :UInt64;
  whole @1 :Bool;
  body @2 :Data;                # JSON of the whole configuration or a delta
}

struct ChangeRequest {
  changeId @0 :Text;
  body @1 :Data;                # JSON of a config delta
}

struct ChangeResult {
  union {
    accepted @0 :UInt64;        # the version that holds the change
    conflict @1 :Text;          # both values of each conflicting object
    invalid @2 :Text;           # one line per error
    unavailable @3 :Text;       # the platform does not answer
  }
}

interface Control {
  watchView @0 (role :Text, knownGeneration :UInt64, knownConfig :UInt64)
      -> (view :View);
  pullConfig @1 (haveVersion :UInt64) -> (changes :ConfigChanges);
  reportStrike @2 (strike :Strike) -> ();
  change @3 (request :ChangeRequest) -> (result :ChangeResult);
  getVersion @4 (version :UInt64) -> (changes :ConfigChanges);
}

# States that a backend server is leaving or unreachable, depending on the list
# of Gossip that contains the notice.
struct LeavingNotice {
  backend @0 :Text;
  wallMs @1 :Int64;
}

struct Gossip {
  kind @0 :UInt8;               # membership::MessageKind
  sequence @1 :UInt64;
  from @2 :Text;
  target @3 :Text;
  members @4 :List(Member);
  strikes @5 :List(Strike);
  leaving @6 :List(LeavingNotice);
  unreachable @7 :List(LeavingNotice);
  loads @8 :List(WorkerLoad);
  loadsOfDataCentre @9 :Bool;   # `loads` are sums over the sender's data centre
  clearances @10 :List(Clearance);
  departures @11 :List(Departure);
  updates @12 :List(MemberUpdate);
  tableDigest @13 :UInt64;      # 0: this build does not compare tables
  bucketDigests @14 :List(UInt32);  # empty, or one for each bucket
  listedBuckets @15 :UInt64;    # bit set: `updates` has the whole bucket
  wanted @16 :List(UInt64);     # keys of VMs
  passOn @17 :Bool;
  fullWorkers @18 :List(FullWorker);
  organisationLoads @19 :List(OrganisationLoad);
  serverPaces @20 :List(ServerPace);
  partialLoads @21 :PartialLoads;   # null: `loads` is the whole list
}

# States that `loads` is not the whole list. `from` is empty then and
# `loadsOfDataCentre` set, so that builds without this field ignore the message.
struct PartialLoads {
  from @0 :Text;
  ofDataCentre @1 :Bool;
  share @2 :UInt16;             # membership::PartialLoads
  restSequencesHundredths @3 :UInt32;
  restKvKiloTokenLayers @4 :UInt32;
}

# States that a worker has just refused a request for lack of capacity.
struct FullWorker {
  worker @0 :UInt32;            # hash of the worker's id
  leftMs @1 :UInt16;            # for so long it should get no request
}

# The tokens of an organisation's requests that a VM has in flight.
struct OrganisationLoad {
  organisation @0 :UInt32;      # hash of its name
  tokens @1 :UInt32;
}

# The share of its full load that a start of a backend server is given.
struct ServerPace {
  start @0 :UInt64;             # hash of the server's id and start
  share @1 :UInt8;              # of 255
  ageCs @2 :UInt16;             # of the statement, hundredths of a second
}

# The parts of a Member that change while the VM runs.
struct MemberUpdate {
  vmKey @0 :UInt64;
  bootId @1 :UInt64;
  incarnation @2 :UInt64;
  identity @3 :UInt32;
  suspectedBy @4 :UInt32;
  status @5 :UInt8;             # membership::Status
  entryUp @6 :Bool;
  dispatchUp @7 :Bool;
  storeUp @8 :Bool;
  cutOff @9 :Bool;
}

# States that a start of a backend server has said that it leaves.
struct Departure {
  server @0 :Text;
  startedMs @1 :Int64;
  wallMs @2 :Int64;
}

struct WorkerLoad {
  worker @0 :UInt32;            # hash of the worker's id
  sequences @1 :UInt16;
  kvKiloTokenLayers @2 :UInt32;
  rateLimit @3 :UInt32;         # membership::WorkerLoadNotice
  rateLimitAge @4 :UInt16;      # hundredths of a second
}

# A request for a permit to send to a backend server with a rate limit, or the
# reply to one.
struct Permit {
  sequence @0 :UInt64;
  server @1 :Text;              # empty in replies
  waitUs @2 :UInt32;
  perSecond @3 :Float64;
  ageMs @4 :UInt32;             # of the statement about the limit
  limited @5 :Bool;             # false: the server names no limit
  reply @6 :Bool;
  granted @7 :Bool;
}
