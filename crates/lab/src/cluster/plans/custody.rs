//! Plans of custody: work in hand that outlives its gateway.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[
    (
        "custody-pair",
        "custody: three gateways, one of them killed once",
        r#"
        (gateways 3) (engines 3) (span "12s") (load 0.5) (keepers 3) (lease "1s")
        (at "5s" (kill 0)) (expect (adopted 1))"#,
    ),
    (
        "custody-calm",
        "custody: no fault: nothing moves",
        r#"
        (gateways 5) (engines 4) (span "12s") (load 0.5) (keepers 5) (lease "1s") (expect (agree "6s"))"#,
    ),
    (
        "custody-busy",
        "custody: the holder is killed with statements that wait, run and are half read, at 90% of all work",
        r#"
        (gateways 5) (engines 4) (span "24s") (load 0.9) (keepers 5) (lease "1s")
        (at "6s" (kill 0)) (at "10s" (start 0)) (at "14s" (kill 1)) (at "18s" (start 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-two",
        "custody: two gateways are killed at once, a guardian with its holder among them",
        r#"
        (gateways 6) (engines 4) (span "22s") (load 0.6) (keepers 5) (lease "1s")
        (at "6s" (kill 0 1)) (at "12s" (start 0 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-paused",
        "custody: a gateway stands still for longer than its lease with attempts out, and goes on",
        r#"
        (gateways 5) (engines 4) (span "30s") (load 0.6) (keepers 5) (lease "1s")
        (at "5s" (stop "8s" 0)) (at "16s" (stop "6s" 1)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-one-way",
        "custody: holders are cut off from the others one way and the other",
        r#"
        (gateways 5) (engines 4) (span "30s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (cut (0) (1 2 3 4))) (at "12s" (heal)) (at "16s" (cut (1 2 3 4) (0))) (at "23s" (heal))
        (expect (agree "14s"))"#,
    ),
    (
        "custody-halves",
        "custody: a partition in which both sides serve and clients reach both",
        r#"
        (gateways 5) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (part (0 1) (2 3 4))) (at "14s" (heal)) (expect (agree "14s"))"#,
    ),
    (
        "custody-cuts",
        "custody: a busy day with two partitions; those that are cut off must not end those that go on",
        r#"
        (gateways 5) (engines 4) (span "36s") (load 0.9) (keepers 5)
        (at "6s" (part (0 1) (2 3 4))) (at "12s" (heal)) (at "20s" (part (0 1) (2 3 4))) (at "26s" (heal))
        (expect (agree "14s"))"#,
    ),
    (
        "custody-cuts-five",
        "custody: five partitions of a busy day, with other gateways on either side",
        r#"
        (gateways 5) (engines 4) (span "78s") (load 0.9) (keepers 5)
        (at "6s" (part (0 1) (2 3 4))) (at "12s" (heal)) (at "20s" (part (2 3) (0 1 4))) (at "26s" (heal))
        (at "34s" (part (0 4) (1 2 3))) (at "40s" (heal)) (at "48s" (part (1) (0 2 3 4))) (at "54s" (heal))
        (at "62s" (part (3 4) (0 1 2))) (at "68s" (heal)) (expect (agree "14s"))"#,
    ),
    (
        "custody-rolled",
        "custody: all get SIGTERM one after the other and come back",
        r#"
        (gateways 5) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "4s" (roll 0 1 2 3 4)) (expect (adopted 2) (rolled "4s") (agree "12s"))"#,
    ),
    (
        "custody-kills",
        "custody: eight gateways, one of them killed every three seconds",
        r#"
        (gateways 8) (engines 6) (span "40s") (load 0.5) (keepers 5) (lease "1s")
        (at "4s" (kills "3s" 10 0 1 2 3 4 5 6 7)) (expect (adopted 10) (agree "12s"))"#,
    ),
    (
        "custody-kills-24",
        "custody: 24 gateways, one of them killed every two seconds",
        r#"
        (gateways 24) (engines 10) (span "50s") (load 0.4) (keepers 5) (lease "2s") (period "500ms")
        (at "6s" (kills "2s" 18 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22)) (expect (adopted 10) (agree "20s"))"#,
    ),
    (
        "custody-engine",
        "custody: a gateway and an engine are killed together",
        r#"
        (gateways 5) (engines 4) (span "22s") (load 0.5) (keepers 5) (lease "1s")
        (at "6s" (kill-engines 1)) (at "6s" (kill 0)) (at "11s" (start-engines 1)) (at "11s" (start 0))
        (expect (adopted 1) (agree "12s"))"#,
    ),
    (
        "custody-forged",
        "custody: pages asked for with forged, cut, foreign and replayed tokens, and statements that ended long ago",
        r#"
        (gateways 5) (engines 4) (span "14s") (load 0.5) (keepers 5) (lease "1s")
        (at "2s" (forge)) (expect (agree "6s"))"#,
    ),
    (
        "custody-client-cut",
        "custody: clients are cut off from their holder alone, which all others still reach",
        r#"
        (gateways 5) (engines 4) (span "22s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (cut-clients 0)) (at "11s" (heal)) (at "14s" (cut-clients 1 2)) (at "18s" (heal)) (expect (agree "6s"))"#,
    ),
    (
        "custody-nine",
        "custody: nine in ten are killed at once and start again",
        r#"
        (gateways 10) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "6s" (kill 0 1 2 3 4 5 6 7 8)) (at "8s" (start 0 1 2 3 4 5 6 7 8)) (expect (lost 20) (agree "14s"))"#,
    ),
    (
        "custody-restarted",
        "custody: a holder is killed and starts at once under its name, again and again",
        r#"
        (gateways 5) (engines 4) (span "26s") (load 0.5) (keepers 5) (lease "1s")
        (at "5s" (kill 0)) (at "5s" (start 0)) (at "9s" (kill 0)) (at "9s" (start 0))
        (at "13s" (kill 0)) (at "13s" (start 0)) (at "14s" (kill 0)) (at "14s" (start 0)) (expect (adopted 2) (agree "12s"))"#,
    ),
    (
        "custody-taker",
        "custody: the holder is killed, and two that take its statements over are killed while they do",
        r#"
        (gateways 7) (engines 4) (span "26s") (load 0.6) (keepers 7) (lease "1s")
        (at "6s" (kill 0)) (at "6500ms" (kill-takers 2 "4s")) (at "14s" (start 0)) (expect (adopted 2) (agree "14s"))"#,
    ),
    (
        "custody-guards",
        "custody: three of five are killed at once, some holders with both their guardians",
        r#"
        (gateways 5) (engines 4) (span "24s") (load 0.5) (keepers 3) (lease "1s")
        (at "6s" (kill 2 3 4)) (at "12s" (start 2 3 4)) (expect (adopted 1) (lost 12) (agree "12s"))"#,
    ),
];
