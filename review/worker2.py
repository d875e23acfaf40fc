"""A model worker as a process of its own, for cases in which a worker crashes.

Usage: worker2.py NAME PORT_FILE RUNS_FILE. It writes its port to the one file and what it runs to the
other. It answers streams of EVENTS events, each of 70 bytes, GAP_S apart.
Its answers have no length and end with their connection, as RULES.md allows: "A worker's answer may
have no length and end with its connection". Ended by a signal, it says nothing more; its system
closes its connections.
"""
import asyncio
import json
import pathlib
import sys
import time

EVENTS = 32
EVENT_BYTES = 70
GAP_S = 0.04
SLOTS = 16
MEMORY_TOKENS = 232000


def event(number):
    """The same from each worker, so that a stream can be resumed elsewhere."""
    start = f"id: {number}\ndata: "
    return (start + f"{number:04d}".ljust(EVENT_BYTES - len(start) - 2, ".") + "\n\n").encode()


class Worker:
    def __init__(self, name, runs):
        self.name, self.runs = name, runs
        self.running = 0

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip()
                   for line in head[1:] if ":" in line}
        await reader.readexactly(int(headers.get("content-length", "0")))
        if target in ("/report", "/health", "/order"):
            return self.tell(writer, target)
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.name}\r\n"
                         f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        await self.stream(writer, request_id, int(headers.get("last-event-id", "0")))
        return False

    def tell(self, writer, target):
        report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": False, "seq": 1, "queued": 0, "running": self.running, "kvUsed": 0,
                  "kvTotal": MEMORY_TOKENS, "handles": 0, "pace": 1, "tickets": []}
        body = json.dumps({"/report": report, "/order": {"free": MEMORY_TOKENS}}.get(target, {}))
        writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Type: "
                     f"application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        return True

    async def stream(self, writer, request_id, after):
        self.running += 1
        self.runs.write(f"{time.monotonic()} {request_id} {after}\n")
        self.runs.flush()
        try:
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                         f"{request_id}\r\nX-Response-Seal: {self.name}.{request_id}\r\n"
                         f"X-Weight-Versions: 1\r\nConnection: close\r\n\r\n".encode())
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(GAP_S)
                writer.write(event(number))
                await writer.drain()
        finally:
            self.running -= 1


async def main(name, port_file, runs_file):
    worker = Worker(name, open(runs_file, "w", encoding="utf-8"))
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    pathlib.Path(port_file + ".new").write_text(str(server.sockets[0].getsockname()[1]))
    pathlib.Path(port_file + ".new").rename(port_file)
    await asyncio.sleep(120)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
