"""Forwards TCP connections between nodes and cuts, silences, resets or delays them on command.

The runner starts it. The first line on stdin is JSON: {"nodes": {name: [real ip, advertised ip]},
"ports": [...]}. Each further line is a command, and each command is answered by one line:

    cut A B [port]      Holds back bytes from A to B until `heal`, like lost packets that TCP
                        retransmits later.
    silence A B         Drops all further bytes from A to B on the connections that are open now.
                        `heal` does not restore these connections; later ones work.
    reset A B           Resets the open connections that carry bytes from A to B.
    delay A B SECONDS   Delays all bytes from A to B until `heal`.
    heal [A B]          Ends the cuts and delays from A to B, or all.

The source of a connection is identified by its address, because a node binds its outgoing
connections to its real IP.
"""
import asyncio
import json
import sys


class Forwarder:
    def __init__(self, nodes):
        self.names = {ips[0]: name for name, ips in nodes.items()}
        self.cuts = set()
        self.delays = {}  # Seconds by (source, target).
        self.changed = asyncio.Condition()
        self.open = []  # One mutable record for each direction of each open connection.

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if delay := self.delays.get(direction["pair"]):
                    await asyncio.sleep(delay)
                await self.wait_while_cut(direction)
                if direction["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.wait_while_cut(direction)
        if not direction["silent"]:
            writer.close()
            self.open.remove(direction)

    async def wait_while_cut(self, direction):
        async with self.changed:
            await self.changed.wait_for(lambda: not self.cuts & {
                direction["pair"], (*direction["pair"], direction["port"])})

    async def accept(self, target, ip, port, reader, writer):
        source = self.names.get(writer.get_extra_info("peername")[0], "outside")
        there = {"pair": (source, target), "port": port, "silent": False}
        back = {"pair": (target, source), "port": port, "silent": False}
        # A TCP handshake needs both directions.
        await self.wait_while_cut(there)
        await self.wait_while_cut(back)
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        self.open += [there, back]
        there["transports"] = back["transports"] = (writer.transport, target_writer.transport)
        await asyncio.gather(self.pump(reader, target_writer, there),
                             self.pump(target_reader, writer, back))

    async def command(self, words):
        if words[0] == "cut":
            self.cuts.add((*words[1:3], *map(int, words[3:])))
        elif words[0] == "silence":
            for direction in self.open:
                if direction["pair"] == (words[1], words[2]):
                    direction["silent"] = True
        elif words[0] == "reset":
            for direction in list(self.open):
                if direction["pair"] == (words[1], words[2]):
                    for transport in direction["transports"]:
                        transport.abort()
        elif words[0] == "delay":
            self.delays[words[1], words[2]] = float(words[3])
        elif words[0] == "heal":
            healed = tuple(words[1:3])
            self.cuts = {cut for cut in self.cuts if healed and cut[:2] != healed}
            self.delays = {pair: delay for pair, delay in self.delays.items()
                           if healed and pair != healed}
        async with self.changed:
            self.changed.notify_all()


async def main():
    loop = asyncio.get_running_loop()
    stdin = asyncio.StreamReader(limit=1 << 22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin)
    config = json.loads(await stdin.readline())
    forwarder = Forwarder(config["nodes"])
    for name, (ip, advertised) in config["nodes"].items():
        for port in config["ports"]:
            def accept(r, w, name=name, ip=ip, port=port):
                return forwarder.accept(name, ip, port, r, w)
            await asyncio.start_server(accept, advertised, port)
    print("ready", flush=True)
    while line := await stdin.readline():
        await forwarder.command(line.decode().split())
        print("done", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
