//! The settings of a soak's gateways.

use serde_json::{json, Value};

use super::schedule::Day;

/// How long after it is told of a drain a gateway may still send requests.
pub const STOP_SENDING_MS: u64 = 250;

/// Classes by place: repeatable, in the order of keys, unsafe to repeat.
pub const CLASSES: [&str; 3] = ["look", "load", "pay"];

/// The settings of a day.
pub fn settings(day: &Day) -> Value {
    let micros = |place: usize| day.waits[place].as_micros() as u64;
    let effects = ["repeatable", "by_key", "once"];
    let classes: Vec<Value> = (0..CLASSES.len())
        .map(|place| {
            json!({"Name": CLASSES[place], "AimUs": micros(place) / 3, "HardLimitUs": micros(place),
                "WindowUs": micros(place), "Worth": 1.0, "Effect": effects[place], "FifoByKey": place == 1})
        })
        .collect();
    json!({
        "NInstances": day.gateways, "MachineTypes": ["std"], "Zones": ["east"], "QuantumUs": 5_000, "Classes": classes,
        "Contract": {"ColdFrom": 0.31, "ColdUs": 5_000_000, "ExtraFree": 5.0, "ExtraPerRequest": 0.1, "FallMultiple": 4.0,
            "GraceToAnswerUs": 20_000, "LookBackUs": 5_000_000, "StopSendingWithinUs": STOP_SENDING_MS * 1_000,
            "TipAfterUs": 1_500_000},
        "FamilyInfo": {"SizeCores": [8]}, "Report": {"How": "answers", "Names": ["load_share"]},
        "Limits": {"AttemptsCap": 3, "ConnIdleUs": 15_000_000, "ConnectTimeoutUs": 250_000, "MayCancel": true,
            "MayDuplicate": false, "OpenCap": 20_000, "Probes": true, "RetryAfter": false, "StreamsPerConn": 32}
    })
}
