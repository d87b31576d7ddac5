from __future__ import annotations

from pathlib import Path

import pytest

from sycamorestand_model.check import check
from sycamorestand_model.check import check_declarations
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Service
from sycamorestand_model.findings import finding_line
from sycamorestand_model.findings import has_errors
from sycamorestand_model.limits import MAX_FILE_BYTES
from sycamorestand_model.limits import MAX_FINDINGS
from sycamorestand_model.load import load_document
from sycamorestand_model.load import load_folder
from sycamorestand_model.routes import CallerLimits
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget

HASH = "b2$0011223344556677$00112233445566778899aabbccddeeff00112233"
OTHER_HASH = "b2$0011223344556678$00112233445566778899aabbccddeeff00112233"
THIRD_HASH = "b2$0011223344556679$00112233445566778899aabbccddeeff00112233"

MODELS = """
[models.cheap]
stable = "1"
[models.cheap.versions.1]
input_micros_per_mtoken = 100
output_micros_per_mtoken = 200
[models.cheap.versions.2]
input_micros_per_mtoken = 100
output_micros_per_mtoken = 200
[models.strong]
stable = "1"
[models.strong.versions.1]
input_micros_per_mtoken = 1000
output_micros_per_mtoken = 2000
"""
PROFILES = """
[profiles.help]
steps = [{model = "cheap"}, {model = "strong"}]
quality_target = 0.9
"""
CUSTOMERS = f"""
[customers.acme]
key_hashes = ["{HASH}"]
profiles = ["help"]
versions = ["cheap", "strong@1"]
services = ["portal"]
"""
SERVICES = """
[services.portal]
call_micros = 5
"""
ROLLOUTS = """
[rollouts.cheap]
version = "2"
"""
OPERATORS = f"""
[operators.ann]
key_hashes = ["{OTHER_HASH}"]
role = "admin"
"""
ROUTES = """
[services.nesting]
health_path = "/health"
max_connections = 370
[services.nesting.engine]
slots = 64
kv_tokens = 345_713
sizes = [{name = "small", cost = 0.02}, {name = "large", cost = 0.25}]
[routes.review]
host = "nest.example"
path_prefix = "/review/"
targets = [{service = "nesting", weight = 90}]
kind = "stream"
timeout_ms = 20_000
resumable = true
sizes = []
[routes.quote]
host = "nest.example"
path_prefix = "/quote/"
targets = [{service = "nesting"}]
kind = "stream"
timeout_ms = 15_000
max_attempts = 2
sizes = ["small", "large"]
"""
ROUTES_THAT_DIFFER = """
[routes.a]
host = "nest.example"
path_prefix = "{}"
targets = [{{service = "portal"}}]
kind = "idempotent"
timeout_ms = 2000
[routes.b]
host = "nest.example"
path_prefix = "{}"
targets = [{{service = "portal"}}]
kind = "idempotent"
timeout_ms = 2000
"""
VALID_FILES = {
    "routes-and-engines.toml": ROUTES,
    "models/all.toml": MODELS,
    "profiles/help.toml": PROFILES,
    "customers/acme.toml": CUSTOMERS,
    "services.toml": SERVICES,
    "rollouts/cheap.toml": ROLLOUTS,
    "operators/ann.toml": OPERATORS,
}

# For each case, the files that differ from the valid ones, and a part of
# each finding that is expected, and no others.
INVALID_CASES = {
    "unknown field": (
        {"services.toml": "[services.portal]\ncall_micro = 5"},
        ["error: services.toml: services.portal.call_micro: unknown field"],
    ),
    "unknown section": (
        {"services.toml": f"{SERVICES}\n[customer.x]\na = 1"},
        ["error: services.toml: customer: unknown section"],
    ),
    "wrong types": (
        {
            "profiles/help.toml": "[profiles.help]\nsteps = 3\n"
            'quality_target = "high"\ndefault_deadline_ms = true'
        },
        [
            "profiles.help.steps: is int; give a list",
            "profiles.help.quality_target: is str; give a number",
            "profiles.help.default_deadline_ms: is bool",
        ],
    ),
    "out of range": (
        {
            "profiles/help.toml": PROFILES.replace("0.9", "1.5"),
            "services.toml": "[services.portal]\ncall_micros = -1",
            "rollouts/cheap.toml": f"{ROLLOUTS}min_step_s = nan",
        },
        [
            "profiles.help.quality_target: out of range",
            "rollouts.cheap.min_step_s: out of range",
            "services.portal.call_micros: out of range",
        ],
    ),
    "bad names": (
        {
            "extra.toml": f"[services.{'a' * 64}]\n[services.A]\n"
            '[services."../x"]'
        },
        [
            "name of 64 characters is too long",
            "services.A: name holds a character",
            "services.../x: name holds a character",
        ],
    ),
    "duplicate name": (
        {"services/portal.toml": SERVICES},
        ["services.portal: is declared in services/portal.toml too"],
    ),
    "misplaced": (
        {"models/portal.toml": "[services.other]"},
        [
            "services: services stand in the folder models/",
            "warning: models/portal.toml: services.other: no route leads",
        ],
    ),
    "dangling references": (
        {
            "customers/acme.toml": f"""
[customers.acme]
key_hashes = ["{HASH}"]
profiles = ["halp"]
versions = ["chaep", "strong@9"]
services = ["portla"]
""",
            "rollouts/cheap.toml": '[rollouts.none]\nversion = "1"',
        },
        [
            "customers.acme.profiles[0]: no profiles declares 'halp'",
            "customers.acme.services[0]: no services declares 'portla'",
            "customers.acme.versions[0]: no models declares 'chaep'",
            "customers.acme.versions[1]: unknown version of strong",
            "rollouts.none: no models declares 'none'",
        ],
    ),
    "customer without an allowed step": (
        {"customers/acme.toml": CUSTOMERS.replace('"cheap", "strong@1"', "")},
        ["customers.acme.profiles[0]: acme may use no step of profile help"],
    ),
    "customer that skips a step": (
        {"customers/acme.toml": CUSTOMERS.replace(', "strong@1"', "")},
        ["warning: customers/acme.toml: customers.acme.profiles[0]: acme"],
    ),
    "routes": (
        {
            "routes.toml": """
[routes.status]
host = "portal.example"
path_prefix = "/status/"
targets = [{service = "portla"}]
kind = "idempotent"
timeout_ms = 2000
resumable = true
[routes.again]
host = "portal.example"
path_prefix = "/status/"
targets = [{service = "portal", weight = 0}]
kind = "once"
timeout_ms = 2000
max_attempts = 2
sizes = ["small"]
[routes.bad]
host = "Portal"
path_prefix = "/status"
targets = []
kind = "safe"
timeout_ms = 0
"""
        },
        [
            "routes.bad.host: is no host name",
            "routes.bad.path_prefix: does not begin and end with a slash",
            "routes.bad.targets: list of 0 items",
            "routes.bad.kind: unknown word",
            "routes.bad.timeout_ms: out of range",
            "routes.status.targets[0]: no services declares 'portla'",
            "routes.status.resumable: only a stream can be resumed",
            "routes.again.targets: the weights add up to 0",
            "routes.again.sizes[0]: service portal holds no model small",
            "warning: routes.toml: routes.again.max_attempts: a call that",
            "routes.again.path_prefix: routes.status has the same host",
        ],
    ),
    "routes that no request finds": (
        {"routes.toml": ROUTES_THAT_DIFFER.format("/Review/", "/review/ /")},
        [
            "warning: routes.toml: routes.a.path_prefix: routes.review has",
            "error: routes.toml: routes.b.path_prefix: holds a space or '?'",
        ],
    ),
    "target without weight": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                "weight = 90}",
                'weight = 90}, {service = "portal", weight = 0}',
            )
        },
        ["routes.review.targets[1].weight: is 0, so the target gets no"],
    ),
    "priority out of range and one attempt": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                "resumable = true", "priority = 10"
            ).replace("max_attempts = 2", "max_attempts = 1")
        },
        ["routes.review.priority: out of range", "quote.sizes: with one"],
    ),
    "durations that contradict each other": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                "resumable = true",
                "target_latency_ms = 20_001\nsilence_limit_ms = 30_000\n"
                "gap_target_ms = 30_001\nresumable = true",
            )
        },
        [
            "warning: routes-and-engines.toml: routes.review.target_latency_ms"
            ": 20001 is longer than timeout_ms, 20000",
            "routes.review.gap_target_ms: 30001 is longer than silence_limit",
            "routes.review.silence_limit_ms: 30000 is longer than timeout_ms",
        ],
    ),
    "sizes of a call that runs once": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                '"stream"\ntimeout_ms = 15_000', '"once"\ntimeout_ms = 15_000'
            )
        },
        ["quote.max_attempts: a call that", "quote.sizes: only a stream"],
    ),
    "more sizes than attempts": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                "sizes = [{", 'sizes = [{name = "tiny", cost = 0.01}, {'
            ).replace('sizes = ["small"', 'sizes = ["tiny", "small"')
        },
        ["routes.quote.sizes: 2 attempts do not lead through 3 sizes"],
    ),
    "unused declarations": (
        {
            "models/more.toml": MODELS.replace("models.", "models.more-"),
            "profiles/more.toml": PROFILES.replace("help", "more").replace(
                "cheap", "more-cheap"
            ),
            "services/more.toml": "[services.more]",
            "customers/acme.toml": CUSTOMERS.replace(
                '"strong@1"', '"strong@1", "more-cheap@2", "more-cheap"'
            ),
        },
        [
            "profiles.more: no customer names it",
            "services.more: no route leads to it and no customer may call it",
            "models.more-strong: no profile, route or roll-out leads to it",
            "customers.acme.versions[2]: no profile of acme offers more",
            "customers.acme.versions[3]: no profile of acme offers more",
        ],
    ),
    "home region of no route": (
        {
            "routes-and-engines.toml": ROUTES.replace(
                "sizes = [", 'home_regions = ["north"]\nsizes = ['
            ).replace('home_regions = ["north"]\n', "", 1),
            "customers/far.toml": f"""
[customers.far]
key_hashes = ["{THIRD_HASH}"]
profiles = []
versions = []
home_regions = ["south"]
""",
        },
        ["customers.far.home_regions: no route may run in a home region"],
    ),
    "pattern": (
        {"customers/acme.toml": CUSTOMERS.replace("strong@1", "str*")},
        [
            "customers.acme.versions[1]: patterns are not authorised",
        ],
    ),
    "plain key": (
        {"customers/acme.toml": CUSTOMERS.replace(HASH, "hunter2")},
        ["customers.acme.key_hashes[0]: this is not a salted key hash"],
    ),
    "shares": (
        {"rollouts/cheap.toml": f"{ROLLOUTS}shares = [0.0, 0.5, 0.5]"},
        [
            "rollouts.cheap.shares[2]: share does not increase",
            "rollouts.cheap.shares[0]: the first share is 0",
            "warning: rollouts/cheap.toml: rollouts.cheap.shares: the last",
        ],
    ),
    "roll-out version": (
        {"rollouts/cheap.toml": '[rollouts.cheap]\nversion = "7"'},
        ["rollouts.cheap.version: unknown version of cheap"],
    ),
    "withdrawn stable version": (
        {
            "models/all.toml": MODELS.replace(
                "[models.cheap.versions.2]",
                "withdrawn = true\n[models.cheap.versions.2]",
            )
        },
        ["models.cheap.stable: the stable version is withdrawn"],
    ),
    "no such stable version": (
        {"models/all.toml": MODELS.replace('stable = "1"', 'stable = "4"')},
        [
            "models.cheap.stable: names no version",
            "models.strong.stable: names no version",
        ],
    ),
    "price of zero": (
        {"models/all.toml": MODELS.replace("= 1000", "= 0")},
        [
            "warning: models/all.toml: models.strong.versions.1."
            "input_micros_per_mtoken: price is 0"
        ],
    ),
    "step order": (
        {"models/all.toml": MODELS.replace("2000", "200")},
        ["warning: profiles/help.toml: profiles.help.steps[1]: costs no more"],
    ),
    "step on withdrawn versions": (
        {
            "models/all.toml": f"{MODELS}withdrawn = true",
            "profiles/help.toml": PROFILES.replace(
                '"strong"', '"strong", versions = ["1"]'
            ),
        },
        [
            "models.strong.stable: the stable version is withdrawn",
            "profiles.help.steps[1]: every version that the step may use",
        ],
    ),
    "duplicate key": (
        {"operators/ann.toml": OPERATORS.replace(OTHER_HASH, HASH)},
        ["operators.ann.key_hashes[0]: customers.acme has the same key"],
    ),
    "no admin": (
        {"operators/ann.toml": OPERATORS.replace('"admin"', '"viewer"')},
        ["warning: operators: no operator with a key has the role admin"],
    ),
    "missing field gives no second finding": (
        {"profiles/help.toml": "[profiles.help]\nquality_target = 0.9"},
        ["profiles.help.steps: missing; add this field"],
    ),
    "broken syntax": (
        {"services.toml": f"{SERVICES}\n= 5"},
        ["error: services.toml: is not TOML", "no services declares 'portal'"],
    ),
    "truncated": (
        {"services.toml": "[services.portal]\ncall_micros = "},
        ["error: services.toml: is not TOML", "no services declares 'portal'"],
    ),
    "not UTF-8 text": (
        {"extra.toml": b"\xff\xfe"},
        ["error: extra.toml: is not UTF-8 text"],
    ),
    "oversized": (
        {"extra.toml": "#" * (MAX_FILE_BYTES + 1)},
        ["error: extra.toml: is too large"],
    ),
    "other files": (
        {"customers/old.yaml": "a: 1", "a/b/c.toml": ""},
        ["a/b/c.toml: lies too deep", "warning: customers/old.yaml: is not"],
    ),
}


def write_folder(folder: Path, files: dict[str, str | bytes]) -> None:
    for name, content in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        if isinstance(content, str):
            path.write_text(content)
        else:
            path.write_bytes(content)


class TestCheck:
    def test_valid_folder_has_no_findings(self, tmp_path: Path) -> None:
        write_folder(tmp_path, {**VALID_FILES})
        loaded = load_folder(tmp_path)
        assert check(loaded) == ()
        assert check_declarations(loaded.declarations) == ()

    @pytest.mark.parametrize("case", INVALID_CASES)
    def test_invalid_input_gives_exactly_the_expected_findings(
        self, tmp_path: Path, case: str
    ) -> None:
        changed_files, expected = INVALID_CASES[case]
        write_folder(tmp_path, {**VALID_FILES, **changed_files})
        lines = [finding_line(f) for f in check(load_folder(tmp_path))]
        missing = [
            text for text in expected if not any(text in one for one in lines)
        ]
        assert missing == []
        assert len(lines) == len(expected)

    def test_typed_declarations_are_checked_beyond_their_schema(
        self,
    ) -> None:
        """Hosts, priorities and limits that no reader has seen.

        A host in upper case hid another route, as look-ups ignore case.
        """
        route = Route("a", "Nest", "/", (RouteTarget("s"),), "once", 1)
        declared = Declarations(
            services={"s": Service("s")},
            routes={
                "a": route,
                "b": route._replace(name="b", host="nest", priority=10),
            },
            limits=CallerLimits(0, 0, 10, 9),
        )
        findings = check_declarations(declared)
        paths = [(each.severity, each.key_path) for each in findings]
        assert paths == [
            ("warning", "operators"),
            ("error", "routes.b.path_prefix"),
            ("error", "routes.b.priority"),
            ("warning", "limits.max_header_bytes"),
            ("warning", "limits.max_body_bytes"),
            ("warning", "limits.idle_timeout_ms"),
        ]

    def test_one_run_reports_all_faults(self, tmp_path: Path) -> None:
        write_folder(tmp_path, {**VALID_FILES})
        for case in ("wrong types", "plain key", "shares", "no admin"):
            write_folder(tmp_path, {**INVALID_CASES[case][0]})
        lines = [finding_line(f) for f in check(load_folder(tmp_path))]
        for case in ("wrong types", "plain key", "shares", "no admin"):
            for text in INVALID_CASES[case][1]:
                assert any(text in line for line in lines), text

    def test_findings_do_not_contain_plain_text_key(
        self, tmp_path: Path
    ) -> None:
        write_folder(
            tmp_path, {**VALID_FILES, **INVALID_CASES["plain key"][0]}
        )
        assert "hunter2" not in repr(check(load_folder(tmp_path)))

    def test_missing_or_empty_folder_is_an_error(self, tmp_path: Path) -> None:
        assert has_errors(check(load_folder(tmp_path)))
        assert has_errors(check(load_folder(tmp_path / "none")))

    def test_unreadable_files_are_reported(self, tmp_path: Path) -> None:
        """A broken link to a file and a link from a folder to its parent.

        If unreadable files were skipped without a finding, the next apply
        would remove the customers that they declare.
        """
        write_folder(tmp_path, {**VALID_FILES})
        (tmp_path / "customers" / "gone.toml").symlink_to("nowhere")
        (tmp_path / "loop").symlink_to(tmp_path, target_is_directory=True)
        lines = [finding_line(f) for f in check(load_folder(tmp_path))]
        assert any("customers/gone.toml: is no file" in one for one in lines)
        assert any("loop/models/all.toml: lies too deep" in o for o in lines)

    def test_number_of_findings_is_limited(self) -> None:
        services = {f"s{n}": 1 for n in range(MAX_FINDINGS + 50)}
        findings = check(load_document({"services": services}))
        assert len(findings) == MAX_FINDINGS + 1
        assert "more than" in findings[-1].message

    @pytest.mark.parametrize("document", [None, [], "x", {"models": []}])
    def test_document_of_wrong_type_is_an_error(
        self, document: object
    ) -> None:
        assert has_errors(check(load_document(document)))
