"""Names and bytes of stored, sent and displayed data stay the same.

The samples in ``stored_and_sent.json`` are literals, written once. Change a sample
only when the format of stored or sent data is meant to change.
"""

from __future__ import annotations

import ast
import asyncio
import importlib
import json
import pkgutil
import re
import typing
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple
from unittest.mock import Mock

import msgspec
import pytest
from aiohttp import web

import pollenlb
from pollenlb.clock import Timestamp
from pollenlb.commands.timeline import Event
from pollenlb.connection import backend_api, engine_api, trainer_messages
from pollenlb.connection.backend_api import ProbeAnswer, ProcessCheck
from pollenlb.connection.control_api import (
    COPY_STREAMS,
    FIND_STREAM,
    PROPOSE,
    READ_BATCH_JOB,
    READ_CONFIGURATION,
    READ_ITEM,
    RECORD_STREAM,
    RECORD_STREAMS,
    RENEW,
    RETIRE,
    STATUS,
    BatchJobRead,
    BatchWork,
    CallStatus,
    ConfigurationRead,
    ConfigurationView,
    CopyStreams,
    DirectoryView,
    DutiesView,
    EntriesView,
    FindStream,
    ItemRead,
    JobView,
    KnownStream,
    LedgerView,
    LimitGrant,
    LimitReport,
    LoadsView,
    PlannedLoad,
    ProposeAnswer,
    ProposeRequest,
    QuarantineView,
    ReadBatchJob,
    ReadConfiguration,
    ReadItem,
    RecordStream,
    RecordStreams,
    RenewAnswer,
    RenewRequest,
    ReplicaView,
    RetireAnswer,
    Retirement,
    RetireRequest,
    StatusAnswer,
    StatusRequest,
    StreamFound,
    StreamPage,
    StreamRecorded,
    WorkView,
)
from pollenlb.connection.engine_api import (
    Resume,
    StreamChoice,
    StreamEvent,
    TokenOrigin,
)
from pollenlb.connection.operator import QueryFailure
from pollenlb.connection.pool import OpeningReason
from pollenlb.connection.rpc import CallFailure, Method
from pollenlb.connection.stream_origins import Knowledge, StreamOrigin
from pollenlb.connection.stream_table import _Stream
from pollenlb.connection.trainer_messages import (
    DeliveredBatch,
    DeliveredSample,
    JobBody,
    NotReady,
    SampleBody,
    Span,
    StepBody,
    VersionBody,
)
from pollenlb.durable.batch_job_commands import (
    AssignBatchJobs,
    BatchItem,
    BatchJobAccepted,
    BatchJobSpec,
    CommitItems,
    EndBatchJob,
    ItemResult,
    ItemsCommitted,
    ItemState,
    RewardCall,
    SampleParameters,
    SampleSlot,
    SavedOutput,
    SaveOutputs,
    SubmitBatchJob,
)
from pollenlb.durable.batch_jobs import BatchJob, BatchJobTable
from pollenlb.durable.command_base import Command, CommandResult, Done, Refused
from pollenlb.durable.commands import AnyCommand, AnyResult, Proposal
from pollenlb.durable.configuration import ConfigurationTable
from pollenlb.durable.configuration_commands import (
    AbandonLoad,
    Announcement,
    AnnounceServer,
    AssignEngines,
    Change,
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationConflict,
    ConfigurationInvalid,
    ConfigurationReplaced,
    ForgetServer,
    NoteModelVersion,
    NoteOrder,
    ReleaseVersion,
    ReplaceConfiguration,
    RetireInstance,
    ServerState,
    VersionSuperseded,
    WithdrawServer,
)
from pollenlb.durable.crash_commands import (
    CrashReported,
    EndTrial,
    Pardon,
    ReportCrash,
    StartTrial,
    TrialEnd,
    TrialStarted,
)
from pollenlb.durable.deduplication import CommandResultTable
from pollenlb.durable.directory import Directory, OrderRecord
from pollenlb.durable.duties import DutyTable, ReplicaOrder
from pollenlb.durable.duty_commands import (
    CloseUsage,
    DutyCall,
    EndReplicaOrder,
    EntryUsage,
    OpenUsage,
    OrderReplicas,
    RecordUsage,
    ReplicaSubject,
    SealUsage,
    SkipUsage,
    TakeDuties,
)
from pollenlb.durable.format_commands import AdoptFormat
from pollenlb.durable.job import Job, Step
from pollenlb.durable.job_commands import (
    Batch,
    BatchNotReady,
    BatchSealed,
    CreateJob,
    JobSettings,
    PullBatch,
    SealedSample,
    SetTrainerVersion,
    SubmitStep,
)
from pollenlb.durable.key_commands import (
    Claimant,
    ClaimKey,
    KeyClaimed,
    KeyHeld,
    KeyRecord,
    KeyState,
    LoseClaimants,
    SettleKey,
)
from pollenlb.durable.keys import KeyTable
from pollenlb.durable.leases import AppliedVersions, EntryHealth, EntryInfo, Lease
from pollenlb.durable.ledger import Ledger
from pollenlb.durable.quarantine import Quarantine, Suspect, Trial
from pollenlb.durable.records import (
    APPEND,
    JOIN,
    SNAPSHOT,
    SNAPSHOT_BLOCK,
    SNAPSHOT_PART,
    VOTE,
    AppendAnswer,
    AppendRequest,
    EntryKind,
    HardState,
    JoinAnswer,
    JoinRequest,
    LogEntry,
    Member,
    Snapshot,
    SnapshotBlockRequest,
    SnapshotPart,
    SnapshotPartRequest,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
    encode_members,
)
from pollenlb.durable.replica import Role
from pollenlb.durable.state_machine import (
    ControlStateMachine,
    LogPosition,
    State,
    encode_proposal,
)
from pollenlb.durable.storage import Storage
from pollenlb.events import EVENT_FILE, EventLog
from pollenlb.platform import names
from pollenlb.platform.__main__ import SETTINGS_PATH_VARIABLE
from pollenlb.platform.announcements import LoadedModel, _Deregistration, _Heartbeat
from pollenlb.platform.batch_jobs import _BatchJob, _FieldNames, _Item, _Scorer
from pollenlb.platform.configuration import (
    _Configuration,
    _Engine,
    _Model,
    _Route,
    _Scaling,
    _Service,
    _Tenant,
    _TrafficShare,
)
from pollenlb.platform.control import ControlApi, _ReleaseBody
from pollenlb.platform.dialect import _Start
from pollenlb.platform.duties import _ScaleOrder, _UsageReport
from pollenlb.platform.entry_protocol import platform_protocol
from pollenlb.platform.orders import _Order, _Report
from pollenlb.process.connection_guard import CloseReason
from pollenlb.process.metrics import Metrics
from pollenlb.release import Release
from pollenlb.request import announce_api, caller_request, outcome
from pollenlb.request.announce_api import AnnounceBody
from pollenlb.request.attempt import AttemptFailure
from pollenlb.request.caller_request import RequestClass
from pollenlb.request.dialect import AnswerHead, NumberedEvent, Resumption
from pollenlb.request.item_progress import RunEnd
from pollenlb.request.native_protocol import native_protocol
from pollenlb.request.operator_api import (
    ChangeBody,
    EntryStatus,
    PardonBody,
    ReleaseBody,
    ServerStatus,
    WorkspaceStatus,
)
from pollenlb.request.outcome import Outcome, Refusal
from pollenlb.request.passthrough import CompleteAnswer, StartedAnswer
from pollenlb.request.reward_call import RewardCallEnd, RewardCallFailure
from pollenlb.request.sample import _ScoreAnswer
from pollenlb.scheduling.swap_plan import SwapMode
from pollenlb.scheduling.usage_seal import SealAction
from pollenlb.settings.cluster import (
    ClusterSettings,
    RouteSettings,
    ServiceSettings,
    WorkspaceSettings,
)
from pollenlb.settings.control import ControlSettings, MemberSettings
from pollenlb.settings.ctl import CtlSettings
from pollenlb.settings.entry import EntrySettings
from pollenlb.settings.http_server import HttpServerSettings
from pollenlb.settings.options import Choice, Problem, Settings
from pollenlb.version.order_api import FencingNumber, Order, OrderKind
from pollenlb.version.order_channel import EngineReport, OrderOutcome, SwapOrder

_PACKAGE = Path(pollenlb.__file__).parent
_SAMPLES = json.loads(Path(__file__).with_name("stored_and_sent.json").read_text())
# The samples of the version in production; they move on with it.
_PRODUCTION = json.loads(
    Path(__file__).with_name("sent_by_production.json").read_text()
)


class Codec(NamedTuple):
    """Key of a format in the samples file, and how its samples are read and encoded."""

    key: str
    read: Callable[[str], bytes]
    decode: Callable[..., Any]
    encode: Callable[[Any], bytes]


MSGPACK = Codec(
    "msgpack", bytes.fromhex, msgspec.msgpack.decode, msgspec.msgpack.encode
)
JSON = Codec("json", str.encode, msgspec.json.decode, msgspec.json.encode)

# Key of the samples, type, and codec that the programs use for it.
_TYPES: list[tuple[str, type[msgspec.Struct], Codec]] = [
    ("probe_answer", ProbeAnswer, JSON),
    ("batch_job_read", BatchJobRead, MSGPACK),
    ("batch_work", BatchWork, MSGPACK),
    ("configuration_read", ConfigurationRead, MSGPACK),
    ("configuration_view", ConfigurationView, MSGPACK),
    ("directory_view", DirectoryView, MSGPACK),
    ("loads_view", LoadsView, MSGPACK),
    ("planned_load", PlannedLoad, MSGPACK),
    ("entries_view", EntriesView, MSGPACK),
    ("item_read", ItemRead, MSGPACK),
    ("job_view", JobView, MSGPACK),
    ("job_view", JobView, JSON),
    ("ledger_view", LedgerView, MSGPACK),
    ("find_stream", FindStream, MSGPACK),
    ("known_stream", KnownStream, MSGPACK),
    ("copy_streams", CopyStreams, MSGPACK),
    ("limit_grant", LimitGrant, MSGPACK),
    ("limit_report", LimitReport, MSGPACK),
    ("propose_answer", ProposeAnswer, MSGPACK),
    ("propose_request", ProposeRequest, MSGPACK),
    ("quarantine_view", QuarantineView, MSGPACK),
    ("read_batch_job", ReadBatchJob, MSGPACK),
    ("read_configuration", ReadConfiguration, MSGPACK),
    ("read_item", ReadItem, MSGPACK),
    ("record_stream", RecordStream, MSGPACK),
    ("record_streams", RecordStreams, MSGPACK),
    ("renew_answer", RenewAnswer, MSGPACK),
    ("renew_request", RenewRequest, MSGPACK),
    ("retire_answer", RetireAnswer, MSGPACK),
    ("retire_request", RetireRequest, MSGPACK),
    ("status_answer", StatusAnswer, MSGPACK),
    ("status_answer", StatusAnswer, JSON),
    ("status_request", StatusRequest, MSGPACK),
    ("stream_found", StreamFound, MSGPACK),
    ("stream_page", StreamPage, MSGPACK),
    ("stream_recorded", StreamRecorded, MSGPACK),
    ("work_view", WorkView, MSGPACK),
    ("origin", TokenOrigin, JSON),
    ("resume", Resume, JSON),
    ("stream_choice", StreamChoice, JSON),
    ("stream_event", StreamEvent, JSON),
    ("delivered_batch", DeliveredBatch, JSON),
    ("delivered_sample", DeliveredSample, JSON),
    ("job_body", JobBody, JSON),
    ("not_ready", NotReady, JSON),
    ("sample_body", SampleBody, MSGPACK),
    ("sample_body", SampleBody, JSON),
    ("span", Span, MSGPACK),
    ("span", Span, JSON),
    ("step_body", StepBody, JSON),
    ("version_body", VersionBody, JSON),
    ("assign_batch_jobs", AssignBatchJobs, MSGPACK),
    ("batch_item", BatchItem, MSGPACK),
    ("reward_call", RewardCall, MSGPACK),
    ("batch_job_accepted", BatchJobAccepted, MSGPACK),
    ("batch_job_spec", BatchJobSpec, MSGPACK),
    ("commit_items", CommitItems, MSGPACK),
    ("end_batch_job", EndBatchJob, MSGPACK),
    ("item_result", ItemResult, MSGPACK),
    ("items_committed", ItemsCommitted, MSGPACK),
    ("sample_slot", SampleSlot, MSGPACK),
    ("saved_output", SavedOutput, MSGPACK),
    ("save_outputs", SaveOutputs, MSGPACK),
    ("sample_terms", SampleParameters, MSGPACK),
    ("submit_batch_job", SubmitBatchJob, MSGPACK),
    ("batch_job", BatchJob, MSGPACK),
    ("batch_job_table", BatchJobTable, MSGPACK),
    ("done", Done, MSGPACK),
    ("refused", Refused, MSGPACK),
    ("proposal", Proposal, MSGPACK),
    ("configuration_table", ConfigurationTable, MSGPACK),
    ("announce_server", AnnounceServer, MSGPACK),
    ("announcement", Announcement, MSGPACK),
    ("announcement", Announcement, JSON),
    ("change", Change, MSGPACK),
    ("change", Change, JSON),
    ("change_configuration", ChangeConfiguration, MSGPACK),
    ("configuration_changed", ConfigurationChanged, MSGPACK),
    ("configuration_changed", ConfigurationChanged, JSON),
    ("configuration_conflict", ConfigurationConflict, MSGPACK),
    ("configuration_conflict", ConfigurationConflict, JSON),
    ("configuration_invalid", ConfigurationInvalid, MSGPACK),
    ("configuration_replaced", ConfigurationReplaced, MSGPACK),
    ("forget_server", ForgetServer, MSGPACK),
    ("note_model_version", NoteModelVersion, MSGPACK),
    ("note_order", NoteOrder, MSGPACK),
    ("abandon_load", AbandonLoad, MSGPACK),
    ("assign_engines", AssignEngines, MSGPACK),
    ("release_version", ReleaseVersion, MSGPACK),
    ("replace_configuration", ReplaceConfiguration, MSGPACK),
    ("retire_instance", RetireInstance, MSGPACK),
    ("version_superseded", VersionSuperseded, MSGPACK),
    ("withdraw_server", WithdrawServer, MSGPACK),
    ("crash_reported", CrashReported, MSGPACK),
    ("end_trial", EndTrial, MSGPACK),
    ("pardon", Pardon, MSGPACK),
    ("report_crash", ReportCrash, MSGPACK),
    ("start_trial", StartTrial, MSGPACK),
    ("trial_started", TrialStarted, MSGPACK),
    ("command_table", CommandResultTable, MSGPACK),
    ("directory", Directory, MSGPACK),
    ("order_record", OrderRecord, MSGPACK),
    ("job", Job, MSGPACK),
    ("step", Step, MSGPACK),
    ("batch", Batch, MSGPACK),
    ("batch_not_ready", BatchNotReady, MSGPACK),
    ("batch_sealed", BatchSealed, MSGPACK),
    ("create_job", CreateJob, MSGPACK),
    ("job_settings", JobSettings, MSGPACK),
    ("job_settings", JobSettings, JSON),
    ("pull_batch", PullBatch, MSGPACK),
    ("sealed_sample", SealedSample, MSGPACK),
    ("set_trainer_version", SetTrainerVersion, MSGPACK),
    ("submit_step", SubmitStep, MSGPACK),
    ("claim_key", ClaimKey, MSGPACK),
    ("claimant", Claimant, MSGPACK),
    ("key_claimed", KeyClaimed, MSGPACK),
    ("key_held", KeyHeld, MSGPACK),
    ("key_record", KeyRecord, MSGPACK),
    ("lose_claimants", LoseClaimants, MSGPACK),
    ("settle_key", SettleKey, MSGPACK),
    ("key_table", KeyTable, MSGPACK),
    ("entry_health", EntryHealth, MSGPACK),
    ("entry_info", EntryInfo, MSGPACK),
    ("entry_info", EntryInfo, JSON),
    ("ledger", Ledger, MSGPACK),
    ("state", State, MSGPACK),
    ("quarantine", Quarantine, MSGPACK),
    ("suspect", Suspect, MSGPACK),
    ("trial", Trial, MSGPACK),
    ("append_answer", AppendAnswer, MSGPACK),
    ("append_request", AppendRequest, MSGPACK),
    ("hard_state", HardState, MSGPACK),
    ("release", Release, MSGPACK),
    ("release", Release, JSON),
    ("join_answer", JoinAnswer, MSGPACK),
    ("join_request", JoinRequest, MSGPACK),
    ("log_entry", LogEntry, MSGPACK),
    ("member", Member, MSGPACK),
    ("member", Member, JSON),
    ("snapshot", Snapshot, MSGPACK),
    ("snapshot_block_request", SnapshotBlockRequest, MSGPACK),
    ("snapshot_part", SnapshotPart, MSGPACK),
    ("snapshot_part_request", SnapshotPartRequest, MSGPACK),
    ("snapshot_request", SnapshotRequest, MSGPACK),
    ("vote_answer", VoteAnswer, MSGPACK),
    ("vote_request", VoteRequest, MSGPACK),
    ("platform_loaded_model", LoadedModel, JSON),
    ("platform_deregistration", _Deregistration, JSON),
    ("platform_heartbeat", _Heartbeat, JSON),
    ("platform_batch_job", _BatchJob, JSON),
    ("platform_item", _Item, JSON),
    ("platform_scorer", _Scorer, JSON),
    ("platform_configuration", _Configuration, JSON),
    ("platform_engine", _Engine, JSON),
    ("platform_model", _Model, JSON),
    ("platform_route", _Route, JSON),
    ("platform_service", _Service, JSON),
    ("platform_tenant", _Tenant, JSON),
    ("platform_share", _TrafficShare, JSON),
    ("platform_named_version", _ReleaseBody, JSON),
    ("platform_order", _Order, JSON),
    ("platform_report", _Report, JSON),
    ("announce_body", AnnounceBody, JSON),
    ("change_body", ChangeBody, JSON),
    ("entry_status", EntryStatus, JSON),
    ("pardon_body", PardonBody, JSON),
    ("release_body", ReleaseBody, JSON),
    ("server_status", ServerStatus, JSON),
    ("workspace_status", WorkspaceStatus, JSON),
    ("whole_answer", CompleteAnswer, MSGPACK),
    ("score_answer", _ScoreAnswer, JSON),
    ("fencing_number", FencingNumber, JSON),
    ("order", Order, JSON),
    ("entry_usage", EntryUsage, MSGPACK),
    ("duty_call", DutyCall, MSGPACK),
    ("duty_table", DutyTable, MSGPACK),
    ("take_duties", TakeDuties, MSGPACK),
    ("open_usage", OpenUsage, MSGPACK),
    ("record_usage", RecordUsage, MSGPACK),
    ("seal_usage", SealUsage, MSGPACK),
    ("skip_usage", SkipUsage, MSGPACK),
    ("close_usage", CloseUsage, MSGPACK),
    ("platform_usage_report", _UsageReport, JSON),
    ("replica_view", ReplicaView, MSGPACK),
    ("replica_view", ReplicaView, JSON),
    ("duties_view", DutiesView, MSGPACK),
    ("duties_view", DutiesView, JSON),
    ("replica_subject", ReplicaSubject, MSGPACK),
    ("replica_order", ReplicaOrder, MSGPACK),
    ("order_replicas", OrderReplicas, MSGPACK),
    ("end_replica_order", EndReplicaOrder, MSGPACK),
    ("adopt_format", AdoptFormat, MSGPACK),
    ("platform_scale_order", _ScaleOrder, JSON),
    ("platform_scaling", _Scaling, JSON),
]

_NOT_STORED_OR_SENT = {
    # Bases without fields; only their subclasses are encoded.
    Command,
    CommandResult,
    # Sent as text, which a test of its own covers.
    Timestamp,
    # Built field by field from lines of event files.
    Event,
    # Returned by calls within a process.
    AnswerHead,
    AttemptFailure,
    StreamOrigin,
    StartedAnswer,
    RewardCallFailure,
    _FieldNames,
    _Start,
    CallFailure,
    NumberedEvent,
    QueryFailure,
    Resumption,
    # Sent as a JSON object that is built field by field, not by encoding the type.
    Refusal,
    # Held only in the memory of entries and control instances.
    _Stream,
    # Held only in the memory of the leader.
    AppliedVersions,
    Lease,
    # Created from the index and the time of each log entry that is applied.
    LogPosition,
    # Printed as a sentence.
    Problem,
    # Converted from or to the messages of one protocol.
    EngineReport,
    SwapOrder,
}

_ENUMS: list[tuple[type[Enum], set[str]]] = [
    (CallStatus, {"done", "in-doubt", "not-leader"}),
    (Knowledge, {"known", "unanswered", "unknown"}),
    (
        CloseReason,
        {
            "answer-not-read",
            "bytes-held",
            "head-timeout",
            "head-too-large",
            "invalid-request",
            "too-many-connections",
        },
    ),
    (EntryKind, {"command", "members", "no-op"}),
    (ItemState, {"completed", "expired"}),
    (KeyState, {"claimed", "ran", "unknown"}),
    (
        OpeningReason,
        {
            "abandoned",
            "after-timeout",
            "closed-by-server",
            "first",
            "idle-expired",
            "none-idle",
            "single-use",
        },
    ),
    (OrderKind, {"swap"}),
    (OrderOutcome, {"accepted", "holds", "refused", "unknown"}),
    (Outcome, {"not-run", "ran", "unknown"}),
    (RequestClass, {"interactive", "long", "short"}),
    (Retirement, {"completed", "running", "too-few", "unknown"}),
    (Role, {"follower", "leader", "unformatted"}),
    (ProcessCheck, {"leaving", "other", "same", "silent", "unknown"}),
    (RewardCallEnd, {"failed", "impossible", "interrupted", "not-run"}),
    (
        RunEnd,
        {
            "broken",
            "failed",
            "impossible",
            "moved",
            "not-run",
            "silent",
            "too-old",
            "whole",
        },
    ),
    (SealAction, {"seal", "skip", "wait"}),
    (ServerState, {"leaving", "serving"}),
    (SwapMode, {"retain", "wait"}),
    (TrialEnd, {"cleared", "open"}),
]

_METHODS: list[tuple[Method, str, type, type]] = [
    (VOTE, "/pollenlb.Replication/Vote", VoteRequest, VoteAnswer),
    (APPEND, "/pollenlb.Replication/Append", AppendRequest, AppendAnswer),
    (SNAPSHOT, "/pollenlb.Replication/Snapshot", SnapshotRequest, AppendAnswer),
    (
        SNAPSHOT_PART,
        "/pollenlb.Replication/SnapshotPart",
        SnapshotPartRequest,
        AppendAnswer,
    ),
    (
        SNAPSHOT_BLOCK,
        "/pollenlb.Replication/SnapshotBlock",
        SnapshotBlockRequest,
        AppendAnswer,
    ),
    (JOIN, "/pollenlb.Replication/Join", JoinRequest, JoinAnswer),
    (PROPOSE, "/pollenlb.Control/Propose", ProposeRequest, ProposeAnswer),
    (RENEW, "/pollenlb.Control/Renew", RenewRequest, RenewAnswer),
    (READ_BATCH_JOB, "/pollenlb.Control/ReadBatchJob", ReadBatchJob, BatchJobRead),
    (READ_ITEM, "/pollenlb.Control/ReadItem", ReadItem, ItemRead),
    (
        READ_CONFIGURATION,
        "/pollenlb.Control/ReadConfiguration",
        ReadConfiguration,
        ConfigurationRead,
    ),
    (RETIRE, "/pollenlb.Control/Retire", RetireRequest, RetireAnswer),
    (STATUS, "/pollenlb.Control/Status", StatusRequest, StatusAnswer),
    (RECORD_STREAM, "/pollenlb.Control/RecordStream", RecordStream, StreamRecorded),
    (FIND_STREAM, "/pollenlb.Control/FindStream", FindStream, StreamFound),
    (
        RECORD_STREAMS,
        "/pollenlb.Control/RecordStreams",
        RecordStreams,
        StreamRecorded,
    ),
    (COPY_STREAMS, "/pollenlb.Control/CopyStreams", CopyStreams, StreamPage),
]

# Keys in files, and the allowed values of the keys that have a fixed choice.
_HTTP_SERVER_KEYS = [
    "max_head_bytes",
    "max_held_bytes",
    "head_timeout_s",
    "max_connections",
    "unread_answer_timeout_s",
]
_SETTINGS: list[tuple[type[Settings], list[str], dict[str, tuple[str, ...]]]] = [
    (
        CtlSettings,
        ["entries", "operator", "event_folders", "timeout_s", "command_timeout_s"],
        {},
    ),
    (MemberSettings, ["address", "failure_domain"], {}),
    (
        ControlSettings,
        [
            "name",
            "failure_domain",
            "listen",
            "data_folder",
            "members",
            "seeds",
            "seed_port",
            "bootstrap",
            "tolerated_losses",
            "tolerated_domain_losses",
            "http_listen",
            "heartbeat_s",
            "election_timeout_s",
            "replace_after_s",
            "event_output",
            "lease_s",
            "clock_drift",
            "snapshot_every",
            "snapshot_bytes",
            "order_lifetime_s",
            "forget_after_s",
            "duty_address",
            "duties",
            "duty_per_s",
            "duty_lease_ms",
            "usage_window_s",
            "usage_late_s",
            *_HTTP_SERVER_KEYS,
        ],
        {"event_output": ("file", "stdout")},
    ),
    (
        EntrySettings,
        [
            "name",
            "failure_domain",
            "listen",
            "control",
            "control_port",
            "ready_listen",
            "relay_listen",
            "serves_without_lease",
            "batch_results_kept_s",
            "data_folder",
            "max_header_bytes",
            "max_answer_header_bytes",
            "max_body_bytes",
            "replay_body_bytes",
            "max_timeout_s",
            "probe_interval_s",
            "usable_s",
            "connect_timeout_s",
            "progress_timeout_s",
            "balancer_delay_s",
            "shutdown_grace_s",
            "max_items_in_flight",
            *_HTTP_SERVER_KEYS,
        ],
        {},
    ),
    (HttpServerSettings, _HTTP_SERVER_KEYS, {}),
    (
        ServiceSettings,
        [
            "kind",
            "checks_fencing",
            "long_share",
            "max_swaps",
            "swap_share",
            "drained",
            "health_path",
            "models",
            "far_cost_s",
            "max_connections",
            "min_servers",
            "max_servers",
            "start_s",
            "reclaimable_price",
            "domain_prices",
        ],
        {"kind": ("engine", "plain")},
    ),
    (
        RouteSettings,
        [
            "service",
            "path_prefix",
            "host",
            "methods",
            "request_class",
            "repeatable",
            "timeout_s",
            "retry_share",
            "weights",
            "max_attempts",
            "target_latency_s",
            "priority",
            "streaming",
            "resumable",
            "batch_jobs",
            "due_s",
            "give_up_s",
            "single_version",
            "public",
        ],
        {"request_class": ("interactive", "short", "long")},
    ),
    (WorkspaceSettings, ["key_digests", "priority", "weight"], {}),
    (ClusterSettings, ["workspaces", "requires_keys", "services", "routes"], {}),
]

_NAMES = [
    (SETTINGS_PATH_VARIABLE, "POLLENLB_CONFIG"),
    (EVENT_FILE, "events.jsonl"),
    (announce_api.ANNOUNCE_PATH, "/pollenlb/v1/announce"),
    (backend_api.PROBE_PATH, "/pollenlb/probe"),
    (backend_api.ORDER_PATH, "/pollenlb/order"),
    (backend_api.REQUEST_ID_HEADER, "Pollenlb-Request-Id"),
    (backend_api.BOOT_HEADER, "Pollenlb-Boot"),
    (backend_api.OUTCOME_HEADER, "Pollenlb-Outcome"),
    (backend_api.TIMEOUT_MS_HEADER, "Pollenlb-Timeout-Ms"),
    (backend_api.WORKSPACE_HEADER, "Pollenlb-Workspace"),
    (backend_api.IN_FLIGHT_HEADER, "Pollenlb-In-Flight"),
    (backend_api.ATTEMPTS_LEFT_HEADER, "Pollenlb-Attempts-Left"),
    (backend_api.RELAY_REFUSED_HEADER, "Pollenlb-Relay-Refused"),
    (caller_request.TIMEOUT_HEADER, "Pollenlb-Timeout"),
    (caller_request.CLASS_HEADER, "Pollenlb-Class"),
    (caller_request.REPEATABLE_HEADER, "Pollenlb-Repeatable"),
    (caller_request.IDEMPOTENCY_KEY_HEADER, "Idempotency-Key"),
    (engine_api.COMPLETIONS_PATH, "/v1/completions"),
    (engine_api.END_OF_STREAM_DATA, b"[DONE]"),
    (outcome.VERSIONS_HEADER, "Pollenlb-Weight-Versions"),
    (outcome.SERVER_HEADER, "Pollenlb-Backend-Server"),
    (trainer_messages.COMMAND_ID_HEADER, "Pollenlb-Command-Id"),
    (names.REQUEST_ID_HEADER, "X-Request-Id"),
    (names.DEADLINE_MS_HEADER, "X-Deadline-Ms"),
    (names.EXPECTED_SERVER_HEADER, "X-Expect-Instance"),
    (names.NOT_EXECUTED_HEADER, "X-Not-Executed"),
    (names.LOAD_REPORT_HEADER, "X-Load-Report"),
    (names.SERVER_ID_HEADER, "X-Instance-Id"),
    (names.WEIGHT_VERSION_HEADER, "X-Weight-Versions"),
    (names.LAST_EVENT_ID_HEADER, "Last-Event-Id"),
    (names.LENGTH_HINT_HEADER, "X-Length-Hint"),
    (names.WAIT_MS_HEADER, "X-Wait-Ms"),
    (names.READY_PATH, "/-/ready"),
    (names.REPORT_PATH, "/-/report"),
    (names.HOLDER_HEADER, "X-Lease-Holder"),
    (names.FENCING_HEADER, "X-Fencing-Token"),
    (names.USAGE_PATH, "/usage"),
    (names.SCALE_PATH, "/scale"),
    (names.ORDER_PATH, "/-/order"),
]

_OWN_ROUTES = {
    "GET /pollenlb/v1/jobs/{}",
    "GET /pollenlb/v1/jobs/{}/batches/{}",
    "GET /pollenlb/v1/operator/control",
    "GET /pollenlb/v1/operator/entry",
    "GET /pollenlb/v1/operator/workspaces",
    "POST /pollenlb/v1/announce",
    "POST /pollenlb/v1/jobs",
    "POST /pollenlb/v1/jobs/{}/steps",
    "POST /pollenlb/v1/jobs/{}/version",
    "POST /pollenlb/v1/operator/configuration",
    "POST /pollenlb/v1/operator/pardons",
    "POST /pollenlb/v1/operator/releases",
}
_PLATFORM_ROUTES = {
    "DELETE /-/lots/{}",
    "GET /-/items/{}",
    "GET /-/lots/{}",
}
_PLATFORM_CONTROL_ROUTES = {
    "GET /-/Config.Read",
    "GET /-/Retire.Read/{}",
    "POST /-/Config.Replace",
    "POST /-/Instances.Deregister/{}",
    "POST /-/Instances.Heartbeat/{}",
    "POST /-/Retire.Begin/{}",
    "POST /-/version-put",
}

_EXPOSITION = """\
# TYPE pollenlb_requests_total counter
pollenlb_requests_total{class="b",outcome="c",service="a"} 1.0
# TYPE pollenlb_requests_created
pollenlb_requests_created{class="b",outcome="c",service="a"}
# TYPE pollenlb_attempts_total counter
pollenlb_attempts_total{result="b",service="a"} 1.0
# TYPE pollenlb_attempts_created
pollenlb_attempts_created{result="b",service="a"}
# TYPE pollenlb_retries_total counter
pollenlb_retries_total{service="a"} 1.0
# TYPE pollenlb_retries_created
pollenlb_retries_created{service="a"}
# TYPE pollenlb_hedges_total counter
pollenlb_hedges_total{service="a"} 1.0
# TYPE pollenlb_hedges_created
pollenlb_hedges_created{service="a"}
# TYPE pollenlb_samples_total counter
pollenlb_samples_total{fate="b",job="a"} 1.0
# TYPE pollenlb_samples_created
pollenlb_samples_created{fate="b",job="a"}
# TYPE pollenlb_items_total counter
pollenlb_items_total{end="b",service="a"} 1.0
# TYPE pollenlb_items_created
pollenlb_items_created{end="b",service="a"}
# TYPE pollenlb_refused_items_total counter
pollenlb_refused_items_total{load="b",service="a"} 1.0
# TYPE pollenlb_refused_items_created
pollenlb_refused_items_created{load="b",service="a"}
# TYPE pollenlb_reward_calls_total counter
pollenlb_reward_calls_total{end="b",service="a"} 1.0
# TYPE pollenlb_reward_calls_created
pollenlb_reward_calls_created{end="b",service="a"}
# TYPE pollenlb_unknown_fields_total counter
pollenlb_unknown_fields_total{field="a"} 1.0
# TYPE pollenlb_unknown_fields_created
pollenlb_unknown_fields_created{field="a"}
# TYPE pollenlb_refused_keys_total counter
pollenlb_refused_keys_total{reason="a"} 1.0
# TYPE pollenlb_refused_keys_created
pollenlb_refused_keys_created{reason="a"}
# TYPE pollenlb_usage_total counter
pollenlb_usage_total{action="a"} 1.0
# TYPE pollenlb_usage_created
pollenlb_usage_created{action="a"}
# TYPE pollenlb_opened_connections_total counter
pollenlb_opened_connections_total{reason="b",service="a"} 1.0
# TYPE pollenlb_opened_connections_created
pollenlb_opened_connections_created{reason="b",service="a"}
# TYPE pollenlb_reused_connections_total counter
pollenlb_reused_connections_total{service="a"} 1.0
# TYPE pollenlb_reused_connections_created
pollenlb_reused_connections_created{service="a"}
# TYPE pollenlb_domain_attempts_total counter
pollenlb_domain_attempts_total{path="b",service="a"} 1.0
# TYPE pollenlb_domain_attempts_created
pollenlb_domain_attempts_created{path="b",service="a"}
# TYPE pollenlb_domain_bytes_total counter
pollenlb_domain_bytes_total{path="b",service="a"} 1.0
# TYPE pollenlb_domain_bytes_created
pollenlb_domain_bytes_created{path="b",service="a"}
# TYPE pollenlb_workspace_requests_total counter
pollenlb_workspace_requests_total{outcome="b",workspace="a"} 1.0
# TYPE pollenlb_workspace_requests_created
pollenlb_workspace_requests_created{outcome="b",workspace="a"}
# TYPE pollenlb_workspace_turns_total counter
pollenlb_workspace_turns_total{turn="b",workspace="a"} 1.0
# TYPE pollenlb_workspace_turns_created
pollenlb_workspace_turns_created{turn="b",workspace="a"}
# TYPE pollenlb_closed_connections_total counter
pollenlb_closed_connections_total{reason="a"} 1.0
# TYPE pollenlb_closed_connections_created
pollenlb_closed_connections_created{reason="a"}
# TYPE pollenlb_relayed_total counter
pollenlb_relayed_total{result="a"} 1.0
# TYPE pollenlb_relayed_created
pollenlb_relayed_created{result="a"}
# TYPE pollenlb_in_flight gauge
pollenlb_in_flight 2.0
# TYPE pollenlb_release gauge
pollenlb_release{version="0.3.0"} 1.0
"""

# Files of the data folder that ``_write_folder`` writes, as hexadecimal text.
_FILES = {
    "log": (
        "504c423115000000750a0ee591940102a7636f6d6d616e64c407636f6d6d616e64504c42"
        "310c00000014c8db5291940103a56e6f2d6f70c400"
    ),
    "replica": (
        "504c423147000000869233ca85a77265706c696361a97265706c6963612d31a7636c7573"
        "746572a9636c75737465722d31a47465726d01a9766f7465645f666f72a97265706c6963"
        "612d32a6666f726d617400"
    ),
    "snapshot": (
        "504c42314a000000e5ebab5684a47465726d01a5696e64657801a76d656d626572739195"
        "a97265706c6963612d31a9636f6e74726f6c2d31ab3132372e302e302e313a31c3a8646f"
        "6d61696e2d31a57374617465c400504c423105000000fbd293a37374617465504c423100"
        "00000000000000"
    ),
}
# The snapshot as earlier releases wrote it.
_FORMER_SNAPSHOT_FILE = (
    "504c42314f0000008d85d82b84a47465726d01a5696e64657801a76d656d626572739195"
    "a97265706c6963612d31a9636f6e74726f6c2d31ab3132372e302e302e313a31c3a8646f"
    "6d61696e2d31a57374617465c4057374617465"
)


def _modules() -> Iterator[Any]:
    for found in pkgutil.walk_packages(pollenlb.__path__, "pollenlb."):
        if found.name != "pollenlb.__main__":
            yield importlib.import_module(found.name)


def _subclasses(base: type) -> set[type]:
    list(_modules())
    found = set()
    pending = [base]
    while pending:
        for subclass in pending.pop().__subclasses__():
            pending.append(subclass)
            if subclass.__module__.startswith("pollenlb."):
                found.add(subclass)
    return found


def _encoded(key: str, codec: Codec) -> list[bytes]:
    return [codec.read(text) for text in _SAMPLES["types"][key][codec.key]]


def _decoded(key: str, type_: type, codec: Codec) -> list[Any]:
    return [codec.decode(sample, type=type_) for sample in _encoded(key, codec)]


def _iter_nested_values(value: Any) -> Iterator[Any]:
    """Yield a value and all values nested in it."""
    yield value
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, field) for field in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, (list, tuple, set)):
        for item in value:
            yield from _iter_nested_values(item)


@pytest.mark.parametrize(
    "key, type_, codec", _TYPES, ids=[f"{key}-{codec.key}" for key, _, codec in _TYPES]
)
def test_a_sample_encodes_to_the_same_bytes(
    key: str, type_: type[msgspec.Struct], codec: Codec
) -> None:
    samples = _encoded(key, codec)
    assert samples
    assert [codec.encode(codec.decode(each, type=type_)) for each in samples] == samples


@pytest.mark.parametrize(
    "key, type_, codec", _TYPES, ids=[f"{key}-{codec.key}" for key, _, codec in _TYPES]
)
def test_a_sample_sets_every_field(
    key: str, type_: type[msgspec.Struct], codec: Codec
) -> None:
    for field in msgspec.structs.fields(type_):
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        values = [getattr(each, field.name) for each in _decoded(key, type_, codec)]
        assert any(each != default for each in values), field.name


@pytest.mark.parametrize(
    "key, type_, codec", _TYPES, ids=[f"{key}-{codec.key}" for key, _, codec in _TYPES]
)
def test_what_the_version_in_production_sends_is_read(
    key: str, type_: type[msgspec.Struct], codec: Codec
) -> None:
    for text in _PRODUCTION["types"].get(key, {}).get(codec.key, []):
        sent = codec.decode(codec.read(text))
        read = codec.decode(codec.read(text), type=type_)
        again = codec.decode(codec.encode(read))
        assert _without_new_fields(again, sent) == sent


def _without_new_fields(value: Any, sample: Any) -> Any:
    """Return a value without the keys of dicts that a sample does not have."""
    if isinstance(value, dict) and isinstance(sample, dict):
        shared = value.keys() & sample.keys()
        return {key: _without_new_fields(value[key], sample[key]) for key in shared}
    if isinstance(value, list) and isinstance(sample, list):
        pairs = zip(value, sample, strict=True)
        return [_without_new_fields(each, other) for each, other in pairs]
    return value


def test_a_snapshot_of_the_version_in_production_gives_the_same_state() -> None:
    machine = ControlStateMachine()
    machine.restore(
        [bytes.fromhex(piece) for piece in _PRODUCTION["pieces_of_the_state"]]
    )
    present = ControlStateMachine()
    present.restore([bytes.fromhex(piece) for piece in _SAMPLES["pieces_of_the_state"]])
    # It reads no other, so that the commands after it have their former effect.
    assert machine.state.format == 0
    machine.state.format = present.state.format
    assert machine.state == present.state


def test_every_type_has_samples() -> None:
    pinned = {type_ for _, type_, _ in _TYPES}
    assert not pinned & _NOT_STORED_OR_SENT
    assert pinned | _NOT_STORED_OR_SENT == _subclasses(msgspec.Struct)
    given = {(key, codec.key) for key, _, codec in _TYPES}
    in_file = {
        (key, format_)
        for key in _SAMPLES["types"]
        for format_ in _SAMPLES["types"][key]
    }
    assert given == in_file


def test_fields_sent_without_names_keep_their_order() -> None:
    member = Member(
        replica="replica-1",
        instance="control-1",
        address="127.0.0.1:1",
        is_voter=True,
        failure_domain="domain-1",
    )
    entry = LogEntry(term=1, index=2, kind=EntryKind.COMMAND, payload=b"3")
    claimant = Claimant(instance="entry-1", boot="boot-1")
    span = Span(version=1, first=2, last=3)
    fencing = FencingNumber(term=1, sequence=2)
    subject = ReplicaSubject(
        service="service-1", failure_domain="domain-1", is_reclaimable=True
    )
    values = (member, entry, claimant, span, fencing, subject)
    assert [JSON.encode(each) for each in values] == [
        b'["replica-1","control-1","127.0.0.1:1",true,"domain-1"]',
        b'[1,2,"command","Mw=="]',
        b'["entry-1","boot-1"]',
        b"[1,2,3]",
        b"[1,2]",
        b'["service-1","domain-1",true]',
    ]
    unnamed = {type_ for _, type_, _ in _TYPES if type_.__struct_config__.array_like}
    assert unnamed == {Member, LogEntry, Claimant, Span, FencingNumber, ReplicaSubject}


@pytest.mark.parametrize(
    "enum, values", _ENUMS, ids=lambda each: getattr(each, "__name__", "")
)
def test_an_enum_keeps_its_values(enum: type[Enum], values: set[str]) -> None:
    assert {member.value for member in enum} == values


def test_every_enum_is_pinned() -> None:
    assert {enum for enum, _ in _ENUMS} == _subclasses(Enum)


def test_every_encoded_member_of_an_enum_is_in_a_sample() -> None:
    members = set()
    for case in _TYPES:
        for value in _iter_nested_values(_decoded(*case)):
            if isinstance(value, Enum):
                members.add(value)
    # The other enums are sent as text, in headers, labels and fields of type str.
    assert {type(member) for member in members} == {
        CallStatus,
        EntryKind,
        ItemState,
        KeyState,
        OrderKind,
        Retirement,
        ServerState,
        TrialEnd,
    }
    assert members == {other for member in members for other in type(member)}


def test_an_announcement_stored_before_software_versions_is_read() -> None:
    for sample in _encoded("announcement", MSGPACK):
        fields = msgspec.msgpack.decode(sample)
        del fields["software"]
        stored = msgspec.msgpack.encode(fields)
        assert msgspec.msgpack.decode(stored, type=Announcement).software == ""


@pytest.mark.parametrize(
    "key, type_, field, default",
    [
        ("entry_health", EntryHealth, "is_stranded", False),
        ("entries_view", EntriesView, "stranded", []),
    ],
)
def test_a_message_sent_before_stranded_entries_were_told_is_read(
    key: str, type_: type[msgspec.Struct], field: str, default: object
) -> None:
    for sample in _encoded(key, MSGPACK):
        fields = msgspec.msgpack.decode(sample)
        del fields[field]
        sent = msgspec.msgpack.encode(fields)
        assert getattr(msgspec.msgpack.decode(sent, type=type_), field) == default


def test_an_order_stored_before_planned_loads_is_read() -> None:
    sample, *_ = _encoded("order_record", MSGPACK)
    fields = msgspec.msgpack.decode(sample)
    stored = msgspec.msgpack.encode(
        {name: fields[name] for name in ("fencing", "at_ms")}
    )
    record = msgspec.msgpack.decode(stored, type=OrderRecord)
    assert (record.boot, record.model, record.version) == ("", "", 0)


def test_the_log_holds_every_command() -> None:
    proposals = _decoded("proposal", Proposal, MSGPACK)
    assert [encode_proposal(proposal) for proposal in proposals] == _encoded(
        "proposal", MSGPACK
    )
    assert {type(proposal.command) for proposal in proposals} == set(
        typing.get_args(AnyCommand)
    )
    assert _subclasses(Command) == set(typing.get_args(AnyCommand))


def test_every_result_can_be_sent_and_kept() -> None:
    answers = _decoded("propose_answer", ProposeAnswer, MSGPACK)
    (table,) = _decoded("command_table", CommandResultTable, MSGPACK)
    results = set(typing.get_args(AnyResult))
    assert {type(answer.result) for answer in answers} == results
    assert {type(result) for result in table.results.values()} == results
    assert _subclasses(CommandResult) == results


def test_a_snapshot_of_the_state_keeps_its_bytes() -> None:
    pieces = [bytes.fromhex(piece) for piece in _SAMPLES["pieces_of_the_state"]]
    machine = ControlStateMachine()
    machine.restore(pieces)
    assert list(machine.snapshot()) == pieces
    # An empty table would not show its names.
    for name in State.__struct_fields__:
        assert getattr(machine.state, name) != getattr(State(), name), name


def test_a_snapshot_of_an_earlier_release_gives_the_same_state() -> None:
    former = ControlStateMachine()
    former.restore([bytes.fromhex(_SAMPLES["snapshot_of_the_state"])])
    pieces = [bytes.fromhex(piece) for piece in _SAMPLES["pieces_of_the_state"]]
    machine = ControlStateMachine()
    machine.restore(pieces)
    assert former.state.format == 0
    former.state.format = machine.state.format
    assert machine.state == former.state
    assert list(former.snapshot()) == pieces


def test_a_snapshot_keeps_the_names_of_the_versions() -> None:
    machine = ControlStateMachine()
    for index, payload in enumerate(_encoded("proposal", MSGPACK), 1):
        proposal = msgspec.msgpack.decode(payload, type=Proposal)
        fresh = msgspec.structs.replace(proposal, command_id=None)
        machine.apply(index, encode_proposal(fresh))
    first, *_ = machine.snapshot()
    versions, _ = msgspec.msgpack.decode(first)
    tables = {"configuration", "directory", "ledger", "quarantine", "loads"}
    assert set(versions) == tables


async def _write_folder(folder: Path) -> None:
    storage = Storage(folder)
    storage.open()
    member = Member("replica-1", "control-1", "127.0.0.1:1", True, "domain-1")
    entries = [
        LogEntry(1, 1, EntryKind.MEMBERS, encode_members([member])),
        LogEntry(1, 2, EntryKind.COMMAND, b"command"),
    ]
    await storage.format(HardState("replica-1", "cluster-1", 1, "replica-2"), entries)
    await storage.save_snapshot(Snapshot(1, 1, [member], b"state"))
    await storage.append([LogEntry(1, 3, EntryKind.NO_OP, b"")])
    storage.close()


def test_a_data_folder_keeps_its_files_and_their_bytes(tmp_path: Path) -> None:
    asyncio.run(_write_folder(tmp_path))
    written = {path.name: path.read_bytes().hex() for path in tmp_path.iterdir()}
    assert written == _FILES


def test_a_data_folder_of_an_earlier_release_is_read(tmp_path: Path) -> None:
    for name, content in {**_FILES, "snapshot": _FORMER_SNAPSHOT_FILE}.items():
        (tmp_path / name).write_bytes(bytes.fromhex(content))
    storage = Storage(tmp_path)
    storage.open()
    assert (storage.snapshot.index, storage.last_index) == (1, 3)
    assert list(storage.snapshot_pieces()) == [b"state"]
    storage.close()


def test_an_event_file_keeps_its_keys(tmp_path: Path) -> None:
    events = EventLog("entry-1", tmp_path)
    events.record("noun.verb", field=1)
    events.close()
    (file,) = tmp_path.iterdir()
    assert file.name == "events.jsonl"
    event = json.loads(file.read_text())
    assert event.keys() == {
        "field",
        "message_type",
        "process",
        "hlc",
        "timestamp",
        "task_uuid",
        "task_level",
    }
    assert (event["message_type"], event["process"]) == ("noun.verb", "entry-1")
    assert re.fullmatch(r"[0-9]+\.[0-9]+", event["hlc"])


def test_a_timestamp_keeps_its_text() -> None:
    assert str(Timestamp(wall_us=12, counter=3)) == "12.3"
    assert Timestamp.parse("12.3") == Timestamp(wall_us=12, counter=3)


@pytest.mark.parametrize(
    "method, path, request_type, answer_type",
    _METHODS,
    ids=[each[1] for each in _METHODS],
)
def test_a_call_keeps_its_path_and_messages(
    method: Method, path: str, request_type: type, answer_type: type
) -> None:
    assert method.path == path
    keys = {type_: key for key, type_, codec in _TYPES if codec is MSGPACK}
    for sample in _encoded(keys[request_type], MSGPACK):
        decoded = method.decode_request(sample)
        assert type(decoded) is request_type
        assert method.encode(decoded) == sample
    for sample in _encoded(keys[answer_type], MSGPACK):
        decoded = method.decode_answer(sample)
        assert type(decoded) is answer_type
        assert method.encode(decoded) == sample


def test_every_call_is_pinned() -> None:
    found = {
        value.path
        for module in _modules()
        for value in vars(module).values()
        if isinstance(value, Method)
    }
    assert found == {path for _, path, _, _ in _METHODS}


def test_metrics_keep_their_names_and_labels() -> None:
    metrics = Metrics()
    # Labels are passed by position, as the programs pass them.
    metrics.requests.labels("a", "b", "c").inc()
    metrics.attempts.labels("a", "b").inc()
    metrics.retries.labels("a").inc()
    metrics.hedges.labels("a").inc()
    metrics.samples.labels("a", "b").inc()
    metrics.items.labels("a", "b").inc()
    metrics.refused_items.labels("a", "b").inc()
    metrics.reward_calls.labels("a", "b").inc()
    metrics.unknown_fields.labels("a").inc()
    metrics.refused_keys.labels("a").inc()
    metrics.usage.labels("a").inc()
    metrics.opened_connections.labels("a", "b").inc()
    metrics.reused_connections.labels("a").inc()
    metrics.domain_attempts.labels("a", "b").inc()
    metrics.domain_bytes.labels("a", "b").inc()
    metrics.record_workspace_request("a", "b")
    metrics.record_turn("a", "b")
    metrics.closed_connections.labels("a").inc()
    metrics.relayed.labels("a").inc()
    metrics.in_flight.set(2)
    lines = metrics.exposition().decode().splitlines()
    stable_lines = [
        re.sub(r" [^ ]+$", "", line) if "_created" in line else line
        for line in lines
        if not line.startswith("# HELP")
    ]
    assert stable_lines == _EXPOSITION.splitlines()


@pytest.mark.parametrize(
    "settings, keys, words", _SETTINGS, ids=lambda each: getattr(each, "__name__", "")
)
def test_settings_keep_their_keys(
    settings: type[Settings], keys: list[str], words: dict[str, tuple[str, ...]]
) -> None:
    options = settings.options()
    assert set(options) == set(keys)
    choices = {
        key: each.choices for key, each in options.items() if isinstance(each, Choice)
    }
    assert choices == words


def test_all_settings_are_pinned() -> None:
    assert {settings for settings, _, _ in _SETTINGS} == _subclasses(Settings)


def test_one_place_reads_the_environment() -> None:
    found = [
        node.attr
        for path in _PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and node.attr in ("environ", "getenv")
    ]
    # The variable that it reads is SETTINGS_PATH_VARIABLE.
    assert found == ["environ"]


@pytest.mark.parametrize("name, literal", _NAMES, ids=[str(each[1]) for each in _NAMES])
def test_a_name_in_messages_stays(name: str | bytes, literal: str | bytes) -> None:
    assert name == literal


def _routes(add: Callable[[web.UrlDispatcher], None]) -> set[str]:
    router = web.UrlDispatcher()
    add(router)
    found = set()
    for route in router.routes():
        assert route.resource is not None
        if route.method != "HEAD":
            path = re.sub(r"{[a-z_]+}", "{}", route.resource.canonical)
            found.add(f"{route.method} {path}")
    return found


def test_paths_of_the_http_servers_stay() -> None:
    own = _routes(lambda router: native_protocol().add_routes(router, Mock()))
    platform = _routes(lambda router: platform_protocol().add_routes(router, Mock()))
    control = _routes(ControlApi(Mock()).add_routes)
    assert own == _OWN_ROUTES
    assert platform == _PLATFORM_ROUTES
    assert control == _PLATFORM_CONTROL_ROUTES
