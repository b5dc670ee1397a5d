"""Some answers have no length and come whole, ended by an end of stream and no reset; none is forwarded."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Agent, AppServer, Client, EdgeNode, node_config, run_case

# The site's classes and figures; as on the short days, one class has another effect than at the site: `toll-post`
# may not be repeated (POST without a key).
SETTINGS = {
    "quantum_us": 2000, "discovery": "pushed",
    "bounds": {
        "try_limit": 5, "parallel_tries": True, "cancelling": True, "peers": True, "retry_after": True,
        "max_retry_after_us": 1_000_000, "connect_timeout_us": 250_000, "keepalive_us": 15_000_000,
    },
    "family_info": {"mail_per_s": 40.0, "most_units": 4},
    "grades": [
        {"name": "tag-check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable", "worth": 2.0},
        {"name": "toll-post", "aim_us": 1_200_000, "deadline_us": 5_000_000, "effect": "fragile", "worth": 3.0,
         "late_value": 0.2},
    ],
    "packages": [{"name": "basic", "refill": 100.0, "depth": 400.0}],
    "rules": {"start_capacity": 0.17, "cold_us": 17_000_000, "fall_multiple": 4.0, "fall_us": 1_500_000,
              "drain_grace_us": 250_000},
}  # fmt: skip
WORK_SECONDS = 0.08
REQUESTS = 150  # of each class, ten a second
MARKED = 6  # every sixth answer of an app server has no length; the others state theirs


class Answers:
    """The answers that app servers wrote whole, and those of them that had no length."""

    def __init__(self, record):
        self.record, self.written, self.marked = record, 0, []

    async def __call__(self, server, run):
        await asyncio.sleep(WORK_SECONDS)
        self.written += 1
        body = f"answer {self.written} of {server.name} to {run.id}".encode()
        is_marked = len(server.runs) % MARKED == 0
        if is_marked:
            self.marked.append((run.id, body))
        if not (is_marked and TROUBLE):
            run.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await run.writer.drain()
            return True
        self.record(f"{server.name} answers id={run.id} whole, with no length, and ends the stream")
        run.writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await run.writer.drain()
        run.writer.write_eof()
        await run.reader.read()  # until the edge node closes, so that nothing is unread and nothing is reset
        return False


async def case(record, folder, nodes):
    answers = Answers(record)
    servers = [AppServer(record, f"s-{index}", answers) for index in range(5)]
    for server in servers:
        await server.open()
    agent = Agent(record, servers)
    await agent.open()
    node = EdgeNode(record, "n0", node_config(0, 1, agent, SETTINGS), folder)
    nodes.append(node)
    await node.start()

    async def ask(index, method, path, body):
        await asyncio.sleep(0.1 * index)
        client = Client(record, node)
        answer = await client.ask(method, path, 1900, customer=0x1000 + index, body=body)
        client.close()
        return answer

    jobs = [ask(index, "GET", "/tag-check/7", b"") for index in range(REQUESTS)]
    jobs += [ask(index, "POST", "/toll-post/7", b"toll of 20 pounds") for index in range(REQUESTS)]
    got = await asyncio.gather(*jobs)

    bodies = {answer.id: answer.body for answer in got if answer.status == 200}
    forwarded = sum(bodies.get(trace) == body for trace, body in answers.marked)
    for name, part in (("tag-check", got[:REQUESTS]), ("toll-post", got[REQUESTS:])):
        statuses = [answer.status for answer in part]
        record(f"{name}: " + ", ".join(f"{statuses.count(each)} x {each}" for each in sorted(set(statuses))))
    aborted = sum(answer.status == 502 and answer.id in dict(answers.marked) for answer in got)
    what = "with no length" if TROUBLE else "that would have no length, sent with one"
    record(f"answers {what} that came whole: {len(answers.marked)}; forwarded: {forwarded}")
    record(f"requests whose work ran and was answered whole, and whose client got 502: {aborted}")
    record("rule: at least half of them are forwarded")
    return forwarded < len(answers.marked) / 2


run_case(Path(__file__).parent, case)
