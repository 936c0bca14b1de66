@0xc1a5f0a1d0e84b02;
# What one host offers to another.

using Cxx = import "/capnp/c++.capnp";
using Call = import "call.capnp";
$Cxx.namespace("dotterelshed::wire");

interface TextSink {
  # Receives generated text in order. An empty write only shows progress.
  write @0 (text :Data, generated :Int64) -> ();
}

interface Host {
  deliver @0 (messages :List(Data)) -> ();
  # One-way messages, each an encoded PeerMessage. The answer shows that the
  # connection is alive, and nothing else.

  call @1 (request :Call.CallRequest, offset :UInt64, sink :TextSink)
      -> (answer :Call.CallAnswer);
  # Runs a call, or joins it if the host knows its request id already. Text
  # before the offset is not sent again.

  ask @2 (request :Text, program :Text, offset :UInt64, sink :TextSink)
      -> (answer :Call.CallAnswer);
  # Asks for the answer of a request by its id.

  endProgram @3 (program :Text) -> ();
}
