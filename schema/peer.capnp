@0xd4a8f3c1b5927e60;

# Calls between daemons. Each daemon serves one Peer and holds one connection to each other daemon.

struct Heartbeat {
  daemon @0 :Text;
  # Name of the sender.
  incarnation @1 :UInt64;
  address @2 :Text;
  # IP number and port that takes pushed reports from workers.
  region @3 :Text;
  domain @4 :Text;
  next @5 :UInt64;
  # The log offset that the sender reads next.
  config @6 :UInt64;
  heldDomains @7 :List(Text);
  lostWorkers @8 :List(Text);
  draining @9 :Bool;
  holds @10 :List(DomainHold);
  silentWorkers @11 :List(Text);
  peerAddress @12 :Text;
  # IP number and port of the sender's peer interface.
}

struct DomainHold {
  domain @0 :Text;
  base @1 :UInt64;
}

struct WorkerTasks {
  worker @0 :Text;
  tasks @1 :Text;
  # The task statuses as JSON, the form in which the worker reported them.
}

struct StatePiece {
  daemon @0 :Text;
  transfer @1 :UInt64;
  # Number of the transfer, chosen by the sender; pieces of different transfers do not mix.
  index @2 :UInt32;
  count @3 :UInt32;
  bytes @4 :Data;
  # Part of the ledger as JSON text.
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> ();
  reports @1 (daemon :Text, reports :List(WorkerTasks)) -> ();
  stateWanted @2 (daemon :Text) -> ();
  state @3 (piece :StatePiece) -> ();
}
