#!/usr/bin/env python3
"""Shows that the proofs notice a broken mechanism.

Breaks one mechanism after the other in a scratch copy of the tree, builds the test that proves it and expects it to fail.
Prints a Markdown table. Exit code 1 if a test passes although its mechanism is broken.

    tools/prove.py [--only TEXT] [--jobs N]
"""
import argparse
import os
import pathlib
import re
import subprocess
import sys
import tempfile

# Guarantee, file, text to replace, replacement, test (a regular expression of ctest), what is broken.
MUTATIONS = [
    (1, "src/transport/fleet_upstreams.cpp", "return member == self_;\n}", "return true;\n}", "a burst of first requests causes one load",
     "every daemon plans for itself and the fold does not compare the replica count"),
    (3, "src/coordination/authority.cpp", "return confirmed ? authority::fresh_outage : authority::lapsed;", "return authority::lapsed;",
     "warm models are served while the log is down", "an outage for all counts as being cut off"),
    (4, "src/transport/request_context.cpp", "return route.open_ ||", "return true || route.open_ ||",
     "a key opens only the routes of its workspace", "every route is open to every known key"),
    (5, "src/transport/service_call.cpp", '"authorization", "connection"', '"connection", "connection"', "no upstream receives a caller's key",
     "the Authorization header is passed on"),
    (6, "src/transport/request_context.cpp", "if (!context.route_.open_ && !view.state_->keys_.contains(context.key_digest_))",
     "if (false)", "a withdrawn key ends open streams", "open streams do not check their key"),
    (7, "src/transport/share_book.cpp", "return it == holders.end() ? 0", "return it != holders.end() ? total_share_units : it == holders.end() ? 0",
     "a workspace gets no more than its burst", "every member holds the whole share"),
    (7, "src/transport/fleet_peers.cpp", "submit(member_suspected{self, member});", "(void)self;", "a frozen daemon is voted out",
     "silent members are not voted out"),
    (8, "src/transport/model_call.cpp", 'if (json.value("id", "") != context_.id_)', "if (false)", "crossed answers never reach",
     "chunks of another request are passed on"),
    (8, "src/transport/model_call.cpp", "end.result_ = whole ? try_result::answered", "end.result_ = true ? try_result::answered",
     "a cut stream is resumed or ends", "a cut answer counts as whole"),
    (9, "src/coordination/quarantine.cpp", None, None, "a poison request is stopped", "crashes are not booked"),
    (10, "src/transport/service_call.cpp", "if (!fresh) {\n        note(services, context, \"claim\", \"log_down\");",
     "if (fresh) {\n        return std::nullopt;\n    }\n    if (!fresh) {\n        note(services, context, \"claim\", \"log_down\");",
     "a purchase repeated at all daemons at once", "calls are made without a claim"),
    (11, "src/transport/request_queue.cpp", "return !status.leaving_ &&", "return", "a leaving upstream gets no new work",
     "routing ignores that an upstream is leaving"),
    (12, "apps/auburnchuted.cpp", "while (!hurried && callers.open_requests() > 0", "while (false && callers.open_requests() > 0",
     "a planned stop finishes streams", "the stop does not wait for open requests"),
    (13, "src/state/fleet_state.cpp", "if (body.base_version_ != current.version_)", "if (false)", "of two racing edits exactly one",
     "an edit of an older version is accepted"),
]

# Mutations that need a second change in another place.
EXTRA = {
    1: [("src/state/fleet_state.cpp", "if (count != body.expected_count_)", "if (false)"),
        ("src/state/fleet_state.cpp", "if (count >= model->max_replicas_)", "if (false)")],
    12: [("src/transport/http_front.cpp", "server_->stop();\n    if (listener_.joinable()) {\n        listener_.join();\n    }",
          "server_->stop();\n    if (listener_.joinable()) {\n        std::_Exit(0);\n    }")],
}


def replace(path, old, new):
    text = path.read_text()
    pattern = r"\s+".join(re.escape(word) for word in old.split())
    changed, count = re.subn(pattern, lambda _: new, text, count=1)
    if count != 1:
        raise SystemExit(f"{path}: the text to break was not found: {old!r}")
    path.write_text(changed)


def break_crash_booking(path):
    text = path.read_text()
    head = re.search(r"std::vector<crash_seen> record_crash\([^{]*\{", text, re.S)
    names = re.findall(r"[\s*&](\w+)\s*[,)]", head.group(0))
    silence = "".join(f"(void){name};" for name in names)
    path.write_text(text[:head.end()] + silence + " return {};\n" + text[head.end():])


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--only", default="")
    arguments.add_argument("--jobs", default=str(os.cpu_count()))
    options = arguments.parse_args()
    root = pathlib.Path(__file__).resolve().parent.parent
    revision = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], cwd=root, text=True).strip()
    print(f"# Proofs seen to fail\n\nCommand: `tools/prove.py`, at commit {revision}. Each row breaks one mechanism in a scratch copy and "
          "runs the test.\n\n| guarantee | broken mechanism | test | noticed |\n|---:|---|---|---|", flush=True)
    missed = 0
    with tempfile.TemporaryDirectory(prefix="auburnchute-prove-") as folder:
        copy = pathlib.Path(folder) / "tree"
        subprocess.check_call(["git", "clone", "-q", "--no-hardlinks", str(root), str(copy)])
        environment = dict(os.environ, CCACHE_BASEDIR=str(copy), CCACHE_NOHASHDIR="1")

        def run(*command):
            return subprocess.run(command, cwd=copy, env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

        run("cmake", "-S", ".", "-B", "build", "-G", "Ninja")
        for guarantee, name, old, new, test, broken in MUTATIONS:
            if options.only not in f"{guarantee} {test} {broken}":
                continue
            run("git", "checkout", "-q", "--", ".")
            if old is None:
                break_crash_booking(copy / name)
            else:
                replace(copy / name, old, new)
            for extra in EXTRA.get(guarantee, []):
                replace(copy / extra[0], extra[1], extra[2])
            targets = ["transport_tests", "auburnchuted", "standin-engine", "standin-log", "standin-service", "standin-store", "standin-vmlist"]
            built = run("cmake", "--build", "build", "-j", options.jobs, "--target", *targets)
            if built.returncode != 0:
                print(built.stdout[-2000:], file=sys.stderr)
                raise SystemExit(f"the tree with a broken mechanism does not build: {broken}")
            result = run("build/transport_tests", test + "*")
            noticed = result.returncode != 0 and "assertions:" in result.stdout
            missed += 0 if noticed else 1
            print(f"| {guarantee} | {broken} | {test} | {'yes' if noticed else 'NO'} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
