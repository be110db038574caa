@0xc3a1f0d27be94c51;
# The protocol between hickoryrun nodes.
#
# All durations are milliseconds and relative to the moment the message is
# sent: nodes share no clock. Every call carries the caller's proof (see
# `Login`), so that a process without the fleet's key gets nothing.

struct Weights {
  model @0 :Text;
  version @1 :Text;
  adapter @2 :Text;  # empty: none
}

struct Cost {
  # What a request weighs on a target.
  prefill @0 :UInt64;  # prompt tokens to prefill
  decode @1 :UInt64;   # tokens to generate at most
  kv @2 :UInt64;       # tokens of KV cache at its greatest
}

struct PermitAsk {
  stream @0 :Text;      # names request, attempt, sender and deadline
  target @1 :Text;
  partner @2 :Text;
  account @3 :Text;
  batch @4 :Bool;       # may wait; else interactive
  cost @5 :Cost;
  weights @6 :Weights;
  timeLeftMs @7 :UInt64;
  alone @8 :Bool;       # a suspect runs beside no other request
  fingerprint @9 :UInt64;
  prefix @10 :UInt64;   # hash of the prompt's leading blocks
  service @11 :Bool;    # a call of a plain service: weighs one slot
  urgent @12 :Bool;     # reserved beside others, all or none: answer at once
}

struct Permit {
  id @0 :UInt64;
  epoch @1 :UInt64;
  lifeMs @2 :UInt64;    # counted by the asker from when it sent the ask
  priority @3 :UInt8;
}

struct PermitAnswer {
  union {
    granted @0 :Permit;
    refused @1 :Refusal;
  }
}

struct Refusal {
  reason @0 :Text;
  retryAfterMs @1 :UInt64;
  notOwner @2 :Bool;     # look the owner up again
}

struct Outcome {
  enum Kind {
    finished @0;
    cancelled @1;
    targetDied @2;   # the connection broke and a new one could not be made
    notSent @3;
    lost @4;         # may still run on the target: the owner cancels it
    left @5;         # the caller went; another node may take the stream up
  }
  target @0 :Text;
  permit @1 :UInt64;
  epoch @2 :UInt64;
  kind @3 :Kind;
  firstTokenMs @4 :UInt64;  # 0: none came
  stream @5 :Text;
}

struct TargetState {
  # What an owner tells of a target once a second.
  target @0 :Text;
  epoch @1 :UInt64;
  queuedPrefill @2 :UInt64;   # prompt tokens granted or queued, not prefilled
  queuedLong @3 :UInt64;      # of these, of long prompts
  kvFree @4 :UInt64;
  kvCapacity @5 :UInt64;
  prefillRate @6 :UInt64;     # tokens a second at present warmth
  bound @7 :UInt32;           # streams it bears at present
  running @8 :UInt32;
  ready @9 :List(Weights);
  accepting @10 :Bool;
  prefixes @11 :List(UInt64);
  waiting @12 :UInt32;
  incarnation @13 :UInt64;    # of the target's process
}

struct Gossip {
  # The exchange between two nodes, both ways.
  node @0 :Text;
  incarnation @1 :UInt64;
  release @2 :UInt64;          # version of the configuration in force
  owners @3 :UInt64;           # revision of the ownership table known
  draining @4 :Bool;
  targets @5 :List(TargetState);
  suspects @6 :List(Suspect);
  connections @7 :UInt32;      # callers served, for entry answers
  version @8 :UInt64;          # counts the changes of the speaker's targets
  seen @9 :UInt64;             # the listener's version that the speaker has;
                               # only targets changed since are told
}

struct Suspect {
  fingerprint @0 :UInt64;
  deaths @1 :UInt32;
  ageMs @2 :UInt64;
}

struct Document {
  version @0 :UInt64;
  text @1 :Text;
}

interface Login {
  # The first object of a connection. The answering node sends a nonce; the
  # asking node proves the fleet's key with a keyed hash over it, and the
  # answerer proves the same over the asker's.
  challenge @0 (nonce :Data) -> (nonce :Data, proof :Data);
  enter @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  exchange @0 (gossip :Gossip) -> (gossip :Gossip);
  permit @1 (ask :PermitAsk) -> (answer :PermitAnswer);
  # Dropping the call before its answer takes the ask out of the queue.
  outcome @2 (outcome :Outcome) -> ();
  release @3 () -> (document :Document);
  owners @4 () -> (document :Document);
  adopt @5 (target :Text, stream :Text, node :Text, keep :Bool) -> (answer :PermitAnswer);
  # The asking node serves the rest of a stream that another node opened: the
  # owner counts it as the asker's and no longer as one to be cancelled. With
  # `keep`, only if no other node has taken it over since.
}
