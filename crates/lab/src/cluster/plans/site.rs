//! Plans of sites that are lost, cut off and come back.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[
    (
        "site-lost",
        "a site's gateways and engines are killed at 60% of what the others have, and back cold after 10 seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.36)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-lost-full",
        "the same at 95% of what the others have",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.57)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-flaps",
        "a site that comes and goes every four seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.45)
        (at "8s" (kill 1 4)) (at "8s" (kill-engines 1 4)) (at "12s" (start-engines 1 4)) (at "12s" (start 1 4))
        (at "16s" (kill 1 4)) (at "16s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (at "24s" (kill 1 4)) (at "24s" (kill-engines 1 4)) (at "28s" (start-engines 1 4)) (at "28s" (start 1 4))
        (expect (agree "14s"))"#,
    ),
    (
        "site-acts",
        "site loss watched and acted on: a site killed at 60% of what the others have, and back cold",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.36) (acts yes)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (site 1 returning "24s") (away 1))"#,
    ),
    (
        "site-acts-full",
        "site loss watched and acted on: a site killed at 95% of what the others have, and back cold",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.57)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (site 1 returning "24s") (away 1))"#,
    ),
    (
        "site-acts-over",
        "site loss watched and acted on: a site killed at 0.9 of all work",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "40s") (acts yes) (load 0.9)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "32s" (start-engines 1 4)) (at "32s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (away 0 1 2))"#,
    ),
    (
        "site-gateways",
        "site loss watched and acted on: a site whose gateways die and whose engines live",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.5)
        (at "10s" (kill 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s") (site 1 partly-lost "8s") (away 1))"#,
    ),
    (
        "site-engines",
        "site loss watched and acted on: a site whose engines die and whose gateways live",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.5)
        (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4))
        (expect (agree "12s") (site 1 partly-lost "8s") (away 1))"#,
    ),
    (
        "site-halves",
        "site loss watched and acted on: two halves that think each other lost, and no engine is",
        r#"
        (gateways 6) (engines 6) (sites 2) (span "36s") (load 0.5) (acts yes)
        (at "10s" (part-sites)) (at "20s" (heal)) (expect (agree "14s") (site 0 cut-off "8s") (site 1 cut-off "8s") (away 0 1))"#,
    ),
    (
        "site-half-back",
        "site loss watched and acted on: a site that returns with half of its engines",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.5)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1)) (at "20s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (away 1))"#,
    ),
    (
        "site-acts-flaps",
        "site loss watched and acted on: a site that comes and goes every four seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "40s") (load 0.45) (acts yes)
        (at "8s" (kill 1 4)) (at "8s" (kill-engines 1 4)) (at "12s" (start-engines 1 4)) (at "12s" (start 1 4))
        (at "16s" (kill 1 4)) (at "16s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (at "24s" (kill 1 4)) (at "24s" (kill-engines 1 4)) (at "28s" (start-engines 1 4)) (at "28s" (start 1 4))
        (expect (agree "14s") (away 1))"#,
    ),
    (
        "site-rolling",
        "site loss watched and acted on: a site is lost while another one restarts its engines and gateways in turn",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.5)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "12s" (drain-engines 2)) (at "14s" (kill-engines 2)) (at "16s" (start-engines 2))
        (at "20s" (roll 2 5)) (at "26s" (start-engines 1 4)) (at "26s" (start 1 4))
        (expect (agree "14s") (site 1 lost "8s") (away 1))"#,
    ),
    (
        "site-doubles",
        "site loss watched and acted on: demand that doubles in the loss",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.36) (rate "13s" 2)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "24s" (start-engines 1 4)) (at "24s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (away 0 1 2))"#,
    ),
    (
        "site-stale",
        "site loss watched and acted on: summaries are stale when a site is lost: demand has doubled since",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.36) (rate "8s" 2) (round "7s")
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "24s" (start-engines 1 4)) (at "24s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (away 0 1 2))"#,
    ),
    (
        "site-liar",
        "site loss watched and acted on: one member tells ten times its demand",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (acts yes) (load 0.36) (liar 2 10)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s") (site 1 lost "8s") (away 1))"#,
    ),
    (
        "site-calm",
        "site loss watched and acted on: a rolling release, a switched-off rack and a pause are no lost site",
        r#"
        (gateways 6) (engines 9) (sites 3) (span "30s") (load 0.4) (acts yes)
        (at "4s" (roll 0 1 2)) (at "12s" (stop "3s" 3)) (at "17s" (kill-engines 1)) (at "21s" (start-engines 1))
        (expect (agree "12s"))"#,
    ),
];
