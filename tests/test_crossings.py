"""Two events that cross, on loopback sockets, in both orders: rows of docs/crossings.md name these tests."""

from loopback import OK, Bench, Server, always, call, play

from brackenladder.net.caller import Caller
from brackenladder.net.passing import WHOLE

LONG = bytes(4 * WHOLE)
FLOWS = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG)


# ---- connections to servers -------------------------------------------------------------------------------


def test_a_client_takes_no_more_as_the_last_piece_of_its_answer_comes(monkeypatch):
    """Failure prevented: the connection goes back among the idle ones with its reading off, and is deaf."""

    async def scene():
        bench = await Bench(server := Server(always(FLOWS))).start()
        passed = 0
        piece = Caller.piece

        def last_fills(caller, data):
            nonlocal passed
            piece(caller, data)
            passed += len(data)
            if passed == len(LONG):
                caller.pause_writing()  # as the transport does within this very write

        monkeypatch.setattr(Caller, "piece", last_fills)
        client = await bench.client()
        assert (await client.ask(call()))[2] == LONG
        (caller,) = bench.node.callers.callers
        caller.resume_writing()
        server.handle = always(OK)
        assert (await client.ask(call("invite", budget=5000)))[0] == 200
        assert server.connections == 1

    play(scene)
