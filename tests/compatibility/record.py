"""Records the data of the compatibility tests: `python -m tests.compatibility.record`, run from the root.

An existing file is never overwritten, so the recorded data stays as the recorded build wrote it.
"""

from __future__ import annotations

import json
import sys
import tempfile
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tests.compatibility import (
    cluster_messages,
    command_refusals,
    gossip_datagrams,
    inputs,
    meanings,
    metrics_messages,
    record_simulations,
    refusal_kinds,
    refused,
    result_meanings,
    values,
    voter_files,
)

if TYPE_CHECKING:
    from collections.abc import Callable

DATA = Path(__file__).with_name("data")


def protocol_records() -> dict[str, Any]:
    """Returns the messages of each protocol in hexadecimal, and the byte strings that each refuses."""
    return {name: protocol_record(protocol) for name, protocol in values.protocols().items()}


def protocol_record(protocol: values.Protocol) -> dict[str, Any]:
    """Returns the messages and refused byte strings of one protocol.

    Prints each invalid byte string that the protocol nevertheless decodes; it is not recorded.
    """
    encoded = {case: protocol.encode(message) for case, message in protocol.messages.items()}
    refused_bytes: dict[str, dict[str, str]] = {}
    for case, data in encoded.items():
        if protocol.framed:
            wrong = refused.invalid_frames(data, protocol.frame_limit)
        else:
            wrong = refused.invalid_bodies(data)
        for name, bad in wrong.items():
            reason = refusal_kinds.refusal_of(partial(protocol.decode, bad))
            if reason is not None:
                refused_bytes[f"{case}: {name}"] = {"bytes": bad.hex(), "refusal": reason}
            else:
                print(f"decoded without an error, not recorded as refused: {case}: {name}")
    return {"messages": {case: data.hex() for case, data in encoded.items()}, "refused": refused_bytes}


def hello_records() -> dict[str, Any]:
    """Returns first messages of a connection in hexadecimal, and how each is refused."""
    records = {}
    for case, hello in cluster_messages.fleet_hellos().items():
        data = values.protocols()["fleet"].encode(hello)
        records[case] = {"bytes": data.hex(), "refusal": cluster_messages.fleet_hello_admission(data)}
    return records


def gossip_records() -> dict[str, Any]:
    """Returns the datagrams of each case with their effect on a receiver, and invalid datagrams."""
    sent = {}
    received_datagrams = {}
    for case in gossip_datagrams.gossip_senders():
        sent[case] = gossip_datagrams.gossip_datagrams(case)
        for number, (_, data) in enumerate(sent[case]):
            received = gossip_datagrams.gossip_received(bytes.fromhex(data), 1)
            received_datagrams[f"{case}, {number}"] = {"bytes": data, "peer": 1, "received": received}
    valid = bytes.fromhex(sent["a count"][0][1])
    wrong: dict[str, tuple[bytes, int | None]] = {
        "stranger": (valid, None),
        "empty": (b"", 1),
        "longer than a datagram": (valid + b" " * 256, 1),
        "not ASCII": (valid + b"\xff", 1),
        "field more in an entry": (valid + b":0", 1),
        "field fewer in an entry": (valid.rpartition(b":")[0], 1),
        "no hexadecimal digits": (valid.replace(b":", b":x", 1), 1),
        "unknown plan": (b"19c4f 1f:5:2:5:0:9:0:3", 1),
        "empty entry": (valid + b" ", 1),
        "incarnation alone": (b"19c4f", 1),
    }
    for case, (bad, peer) in wrong.items():
        received = gossip_datagrams.gossip_received(bad, peer)
        received_datagrams[case] = {"bytes": bad.hex(), "peer": peer, "received": received}
    return {"sent": sent, "received": received_datagrams}


def split_records() -> list[dict[str, Any]]:
    """Returns lengths and digests of the parts of a large snapshot, which are too long to be recorded."""
    return [
        {"length": len(part), "sha256": sha256(part).hexdigest()} for part in metrics_messages.split_counts()
    ]


def config_records() -> dict[str, Any]:
    """Returns the shipped files and files with more routing rules, with the settings read from each."""
    texts = {f"example-{name}.json": (inputs.DEPLOY / f"example-{name}.json") for name in inputs.EXAMPLES}
    files = {name: path.read_text() for name, path in texts.items()}
    files["example-rules.toml"] = (inputs.DEPLOY / "example-rules.toml").read_text()
    files["rich-rules.toml"] = inputs.RICH_RULES
    rich = json.loads(files["example-ruled.json"]) | {"rules": "rich-rules.toml"}
    files["rich-ruled.json"] = json.dumps(rich, indent=1)
    with tempfile.TemporaryDirectory() as folder:
        write_files(Path(folder), files)
        meaning = {
            name: meanings.read_config(Path(folder, name)) if name.endswith(".json") else rules_of(text)
            for name, text in files.items()
        }
    return {"files": files, "meaning": meaning}


def rules_of(text: str) -> Any:
    """Returns the content of a file of routing rules."""
    return meanings.rules(text.encode())


def write_files(folder: Path, files: dict[str, str]) -> None:
    """Writes the files of a case to a folder."""
    for name, text in files.items():
        (folder / name).write_text(text, encoding="utf-8")


def refused_record(files: dict[str, str], arguments: list[str]) -> dict[str, Any]:
    """Returns exit code, location and remedy of a refused command; FOLDER stands for the folder of its files.

    Raises:
        SystemExit: the command succeeded, or its output has no remedy.
    """
    with tempfile.TemporaryDirectory() as folder:
        write_files(Path(folder), files)
        code, output = command_refusals.run_command(
            [argument.replace("FOLDER", folder) for argument in arguments]
        )
    remedy = command_refusals.remedy_in(output)
    if code == 0 or remedy is None:
        raise SystemExit(f"expected a refusal with a remedy, got exit code {code}: {arguments} {output}")
    location = command_refusals.error_location(output)
    return {"files": files, "command": arguments, "exit code": code, "place": location, "remedy": remedy}


def refused_records() -> dict[str, Any]:
    """Returns the files that the command line refuses, by `command: case`."""
    emulated = result_meanings.emulator_results().decode()
    script = result_meanings.fault_script_bytes().decode()
    compare = ["lab", "compare", "FOLDER/results.jsonl", "FOLDER/results.jsonl"]
    groups: list[tuple[str, list[str], dict[str, inputs.Files]]] = [
        ("check", ["check", "FOLDER/config.json"], inputs.bad_configs()),
        ("compare", compare, inputs.bad_results(emulated)),
        ("replay", ["lab", "rig", "--replay", "FOLDER/script.json"], inputs.bad_scripts(script)),
    ]
    return {
        f"{group}: {case}": refused_record(files, arguments)
        for group, arguments, cases in groups
        for case, files in cases.items()
    }


def voter_file_records() -> dict[str, Any]:
    """Returns log files of acceptors in hexadecimal, with the state that an acceptor reads from each."""
    records: dict[str, Any] = {"written": {}, "read": {}}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "voter")
        for case in voter_files.VOTER_FILES:
            data = voter_files.write_voter_file(case, path)
            path.unlink()
            records["written"][case] = data.hex()
        complete = bytes.fromhex(records["written"]["two leases"])
        cases = {case: bytes.fromhex(data) for case, data in records["written"].items()}
        for case, data in (cases | inputs.bad_voter_files(complete, len(complete) - 1)).items():
            path.write_bytes(data)
            records["read"][case] = {"bytes": data.hex(), "meaning": voter_files.read_voter_file(path)}
    return records


def result_records() -> dict[str, Any]:
    """Returns result files of the simulations and a fault script, with the values read from each."""
    files = {
        "emulator": result_meanings.emulator_results(),
        "real processes": result_meanings.process_results(),
    }
    records = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "results.jsonl")
        for case, data in files.items():
            path.write_bytes(data)
            records[case] = {"text": data.decode(), "meaning": result_meanings.read_results(path)}
    script = result_meanings.fault_script_bytes()
    records["fault script"] = {"text": script.decode(), "meaning": result_meanings.read_fault_script(script)}
    return records


RECORDS: dict[str, Callable[[], Any]] = {
    "protocols.json": protocol_records,
    "hellos.json": hello_records,
    "gossip.json": gossip_records,
    "split-counts.json": split_records,
    "configs.json": config_records,
    "refused-files.json": refused_records,
    "voter-files.json": voter_file_records,
    "results.json": result_records,
    "fault-scripts.json": record_simulations.fault_script_records,
    "commands.json": record_simulations.command_records,
    "build-results.json": record_simulations.build_result_records,
}


def main() -> int:
    """Writes the missing files; returns 0 if there were any, else 1."""
    DATA.mkdir(exist_ok=True)
    missing = {name: make for name, make in RECORDS.items() if not (DATA / name).exists()}
    for name in RECORDS.keys() - missing.keys():
        print(f"exists, not overwritten: {name}")
    for name, make in missing.items():
        text = json.dumps(make(), indent=1, ensure_ascii=False) + "\n"
        with (DATA / name).open("x", encoding="utf-8") as file:
            file.write(text)
        print(f"recorded: {name}")
    return 0 if missing else 1


if __name__ == "__main__":
    sys.exit(main())
