//! Sessions that live on one engine, over sockets: transactions, temporary tables, restarts, drains, limits, hand-over.

mod bed;

use std::rc::Rc;
use std::time::Duration;

use bed::{with, Bed, Caller};
use futures_lite::future;
use violetward::Gateway;
use violetward_client::{Ending, KernelClient, Query};
use violetward_gateway::{config, service};
use violetward_lab::fleet::{self, GatewayPlan};
use violetward_net::sleep;
use violetward_standin::fault::Fault;

const MS: fn(u64) -> Duration = Duration::from_millis;

const SEASON: &str = "CREATE TABLE season (id INTEGER, what TEXT)";

async fn count(caller: &mut Caller, table: &str) -> i64 {
    caller.one(&format!("SELECT count(*) FROM {table}")).await.as_i64().unwrap()
}

/// Makes the table on every engine: each stand-in has rows of its own.
fn season(bed: &Bed) {
    bed.engines.borrow().iter().for_each(|e| e.execute(SEASON));
}

#[test]
fn a_transaction_stays_on_its_engine_and_takes_effect_at_its_commit_alone() {
    with(3, "", |bed| async move {
        season(&bed);
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        for n in 0..12 {
            caller.run(&format!("INSERT INTO season VALUES ({n}, 'a')")).await.unwrap();
            // Others come between, and go wherever the module likes.
            bed.run("SELECT 1", "lookup").await;
        }
        assert_eq!(count(&mut caller, "season").await, 12);
        let seen = |bed: &Bed| bed.engines.borrow().iter().map(|e| e.count("season")).collect::<Vec<_>>();
        assert_eq!(seen(&bed), [0, 0, 0], "nothing is seen before the commit");
        assert_eq!(bed.host.read_core(|core| core.sessions().0), 1);
        caller.run("COMMIT").await.unwrap();
        let mut after = seen(&bed);
        after.sort_unstable();
        assert_eq!((after, caller.transaction.clone()), (vec![0, 0, 12], None));
        assert_eq!(bed.host.read_core(|core| core.sessions()), (0, 0));
        caller.run("START TRANSACTION").await.unwrap();
        caller.run("INSERT INTO season VALUES (99, 'b')").await.unwrap();
        caller.run("ROLLBACK").await.unwrap();
        assert_eq!(seen(&bed).iter().sum::<i64>(), 12);
        assert_eq!(caller.error("COMMIT").await, "NOT_IN_TRANSACTION");
    });
}

#[test]
fn a_temporary_table_with_the_name_of_a_real_one_never_reads_the_real_one_after_its_loss() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        let real = count(&mut caller, "players").await;
        caller.run("CREATE TEMPORARY TABLE players AS SELECT 7 AS id").await.unwrap();
        for _ in 0..6 {
            assert_eq!(count(&mut caller, "players").await, 1, "its own, wherever others go");
        }
        assert_eq!(count(&mut Caller::new(bed.address), "players").await, real, "others read the real one");
        for n in 0..2 {
            bed.engine(n).fault(&Fault::Crash { for_ms: 50 });
        }
        sleep(MS(700)).await;
        // The same address, another epoch: told, again and again, until the client lets go knowingly.
        for _ in 0..3 {
            let (name, message) = caller.run("SELECT count(*) FROM players").await.unwrap_err();
            assert_eq!(name, "SESSION_LOST");
            assert!(message.contains("temporary tables"), "{message}");
        }
        caller.run("RESET SESSION engine_session").await.unwrap();
        loop {
            match caller.run("SELECT count(*) FROM players").await {
                Ok(rows) => break assert_eq!(rows[0][0].as_i64(), Some(real)),
                Err((name, message)) => assert_eq!(name, "STATEMENT_REFUSED", "{message}"),
            }
            sleep(MS(100)).await;
        }
    });
}

#[test]
fn tables_are_rebuilt_elsewhere_only_if_their_client_lets_that_happen() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("SET SESSION rebuild_tables = 'true'").await.unwrap();
        caller.run("CREATE TEMPORARY TABLE t AS SELECT id FROM players WHERE id < 4").await.unwrap();
        caller.run("INSERT INTO t VALUES (50)").await.unwrap();
        caller.run("INSERT INTO loads VALUES (9, 'real')").await.unwrap();
        let loads = |bed: &Bed| bed.engines.borrow().iter().map(|e| e.count("loads")).sum::<i64>();
        let before = loads(&bed);
        let held: Vec<usize> = bed.engines.borrow().iter().map(|e| e.sessions()).collect();
        let n = held.iter().position(|&h| h == 1).unwrap();
        let token = caller.token();
        bed.write_list(|list| drop(list.remove(n)));
        sleep(MS(200)).await;
        let rows = caller.run("SELECT id FROM t ORDER BY id").await.unwrap();
        assert_eq!(rows, [[1], [2], [3], [50]]);
        assert_ne!(caller.token(), token, "it carries the new one");
        assert_eq!(bed.engine(1 - n).sessions(), 1);
        assert_eq!(loads(&bed), before, "what was done to a real table is not done again");
        assert_eq!(count(&mut caller, "t").await, 4, "and goes on there");
        // What a transaction did to them is not known by statements alone.
        caller.run("START TRANSACTION").await.unwrap();
        caller.run("INSERT INTO t VALUES (51)").await.unwrap();
        caller.run("ROLLBACK").await.unwrap();
        bed.write_list(|list| drop(list.remove(1 - n)));
        sleep(MS(200)).await;
        assert_eq!(caller.error("SELECT id FROM t").await, "SESSION_LOST");
    });
}

#[test]
fn an_engine_that_dies_takes_its_transactions_along_and_every_client_is_told() {
    with(1, "", |bed| async move {
        season(&bed);
        let mut callers: Vec<Caller> = (0..3).map(|_| Caller::new(bed.address)).collect();
        for caller in &mut callers {
            caller.run("START TRANSACTION").await.unwrap();
            caller.run("INSERT INTO season VALUES (1, 'lost')").await.unwrap();
        }
        let [before, during, commit] = &mut callers[..] else { unreachable!() };
        // One statement and one commit run while it dies; the third client comes later.
        let crash = async {
            sleep(MS(120)).await;
            bed.engine(0).fault(&Fault::Crash { for_ms: 100 });
        };
        let running =
            future::zip(during.run("SELECT 1 /*sim work=60000*/"), commit.run("COMMIT /*sim work=60000*/"));
        let ((during, commit), ()) = future::zip(running, crash).await;
        // The connection breaks first, or the new epoch is learned first: both are told as what they are.
        let (name, message) = during.unwrap_err();
        assert!(matches!(name.as_str(), "SESSION_LOST" | "STATEMENT_FAILED"), "{name}: {message}");
        let (name, message) = commit.unwrap_err();
        assert!(matches!(name.as_str(), "SESSION_LOST" | "STATEMENT_FAILED"), "{name}: {message}");
        assert!(message.contains("not known whether the transaction was committed"), "{message}");
        sleep(MS(700)).await;
        let (name, message) = before.run("INSERT INTO season VALUES (2, 'x')").await.unwrap_err();
        assert_eq!(name, "SESSION_LOST", "{message}");
        assert!(message.contains("an open transaction") && message.contains("restarted"), "{message}");
        before.run("ROLLBACK").await.expect("nothing is left of it: that is what was asked for");
        assert_eq!(bed.engine(0).count("season"), 0);
        assert_eq!(bed.host.read_core(|core| core.sessions().0), 0);
    });
}

#[test]
fn a_break_between_two_pages_of_a_transactions_rows_is_told() {
    with(1, "(limits (stream-idle \"700ms\") (buffer \"1B\") (long-poll \"200ms\"))", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        bed.engine(0).fault(&Fault::StopAfterPages { pages: 1, for_ms: 30_000 });
        assert_eq!(caller.error("SELECT * FROM points LIMIT 1000").await, "STATEMENT_FAILED");
        // A read that broke has changed nothing: the transaction goes on.
        bed.engine(0).fault(&Fault::StopAfterPages { pages: 1, for_ms: 0 });
        caller.run("COMMIT").await.unwrap();
    });
}

#[test]
fn a_write_whose_outcome_is_not_known_leaves_nothing_but_a_rollback() {
    with(2, "", |bed| async move {
        season(&bed);
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        for n in 0..2 {
            bed.engine(n).fault(&Fault::LostAnswers { share: 1.0, for_ms: 400 });
        }
        assert_eq!(caller.error("INSERT INTO season VALUES (1, 'a')").await, "STATEMENT_FAILED");
        sleep(MS(500)).await;
        assert_eq!(caller.error("INSERT INTO season VALUES (2, 'b')").await, "TRANSACTION_ABORTED");
        assert_eq!(caller.error("COMMIT").await, "TRANSACTION_ABORTED");
        loop {
            match caller.run("ROLLBACK").await {
                Ok(_) => break,
                // The engine is out for a while after its lost answers.
                Err((name, message)) => assert_eq!(name, "STATEMENT_REFUSED", "{message}"),
            }
            sleep(MS(100)).await;
        }
        assert_eq!(bed.engines.borrow().iter().map(|e| e.count("season")).sum::<i64>(), 0);
    });
}

#[test]
fn two_clients_with_one_session_take_turns_and_a_stranger_is_turned_away() {
    with(2, "", |bed| async move {
        let mut one = Caller::new(bed.address);
        one.run("START TRANSACTION").await.unwrap();
        let mut two = Caller { transaction: one.transaction.clone(), ..Caller::new(bed.address) };
        let (first, second) = future::zip(one.run("SELECT 1 /*sim work=300*/"), async {
            sleep(MS(100)).await;
            two.run("SELECT 2").await
        })
        .await;
        first.unwrap();
        assert_eq!(second.unwrap_err().0, "STATEMENT_REFUSED", "a further try is harmless");
        two.run("SELECT 2").await.expect("its turn");
        let mut stranger = Caller {
            user: "mallory".into(),
            transaction: one.transaction.clone(),
            ..Caller::new(bed.address)
        };
        assert_eq!(stranger.error("SELECT 1").await, "SESSION_INVALID");
        let mut forged = one.transaction.clone().unwrap();
        let last = forged.pop().unwrap();
        forged.push(if last == '0' { '1' } else { '0' });
        let mut forger = Caller { transaction: Some(forged), ..Caller::new(bed.address) };
        assert_eq!(forger.error("SELECT 1").await, "SESSION_INVALID");
        one.run("COMMIT").await.unwrap();
        // What has ended is not opened again by its old token.
        assert_eq!(two.error("SELECT 2").await, "SESSION_INVALID");
    });
}

#[test]
fn by_the_strict_rule_a_drain_ends_sessions_and_with_leave_they_finish() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        bed.write_list(|list| list.iter_mut().for_each(|e| e.state = "draining"));
        sleep(MS(300)).await;
        let got = bed.got();
        let (name, message) = caller.run("SELECT 1").await.unwrap_err();
        assert!(name == "SESSION_LOST" && message.contains("drains"), "{name}: {message}");
        assert_eq!(bed.got(), got, "nothing new reaches it after the grace");
        // What it held is freed at the engine, which does not wait for its own limit.
        for _ in 0..100 {
            if bed.engines.borrow().iter().all(|e| e.sessions() == 0) {
                return;
            }
            sleep(MS(20)).await;
        }
        panic!("the engine still holds the transaction");
    });
    with(2, "(sessions (finish-within \"900ms\"))", |bed| async move {
        season(&bed);
        let (mut quick, mut slow) = (Caller::new(bed.address), Caller::new(bed.address));
        quick.run("START TRANSACTION").await.unwrap();
        slow.run("START TRANSACTION").await.unwrap();
        bed.write_list(|list| list.iter_mut().for_each(|e| e.state = "draining"));
        sleep(MS(300)).await;
        assert_eq!(
            bed.run("SELECT 1", "lookup").await.0.as_deref(),
            Some("STATEMENT_REFUSED"),
            "new work leaves"
        );
        quick.run("INSERT INTO season VALUES (1, 'a')").await.expect("it may finish");
        quick.run("COMMIT").await.expect("it may finish");
        sleep(MS(900)).await;
        let (name, message) = slow.run("COMMIT").await.unwrap_err();
        assert!(name == "SESSION_LOST" && message.contains("an open transaction"), "{name}: {message}");
        assert_eq!(bed.engines.borrow().iter().map(|e| e.count("season")).sum::<i64>(), 1);
    });
}

#[test]
fn a_removed_engine_is_told_at_once_even_to_a_statement_that_runs() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        let (ended, ()) = future::zip(caller.run("SELECT 1 /*sim work=60000*/"), async {
            sleep(MS(150)).await;
            bed.write_list(|list| list.clear());
        })
        .await;
        let (name, message) = ended.unwrap_err();
        assert!(name == "SESSION_LOST" && message.contains("removed"), "{name}: {message}");
    });
}

#[test]
fn a_pinned_engine_that_hangs_costs_its_sessions_and_nobody_else() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        let held: Vec<usize> = bed.engines.borrow().iter().map(|e| e.sessions()).collect();
        let n = held.iter().position(|&h| h == 1).unwrap();
        bed.engine(n).fault(&Fault::Hang { for_ms: 4600 });
        let start = std::time::Instant::now();
        // No other engine can answer it: it ends by its deadline, and the session stands.
        let name = caller.error("SELECT 1").await;
        assert!(matches!(name.as_str(), "STATEMENT_FAILED" | "STATEMENT_REFUSED"), "{name}");
        assert!(start.elapsed() < Duration::from_secs(6));
        for _ in 0..5 {
            assert!(matches!(
                bed.run("SELECT 1", "lookup").await.0.as_deref(),
                None | Some("STATEMENT_REFUSED")
            ));
        }
        for _ in 0..100 {
            match caller.run("COMMIT").await {
                Ok(_) => return,
                Err((name, message)) => assert_eq!(name, "STATEMENT_REFUSED", "{message}"),
            }
            sleep(MS(50)).await;
        }
        panic!("the engine is back, and the commit is still refused");
    });
}

#[test]
fn idle_locks_are_let_go_and_a_running_statement_ends_with_the_longest_life() {
    with(1, "(sessions (locks-idle \"300ms\") (idle \"900ms\") (absolute \"1500ms\"))", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        let mut tables = Caller::new(bed.address);
        tables.run("CREATE TEMPORARY TABLE t (a INTEGER)").await.unwrap();
        sleep(MS(550)).await;
        let (name, message) = caller.run("COMMIT").await.unwrap_err();
        assert!(name == "SESSION_LOST" && message.contains("too long"), "{name}: {message}");
        assert_eq!(bed.engine(0).sessions(), 1, "tables alone may idle longer");
        assert_eq!(count(&mut tables, "t").await, 0);
        let mut long = Caller::new(bed.address);
        long.run("START TRANSACTION").await.unwrap();
        let (name, message) = long.run("SELECT 1 /*sim work=2800*/").await.unwrap_err();
        assert!(name == "SESSION_LOST" && message.contains("longer than a session may"), "{name}: {message}");
    });
}

#[test]
fn bounds_refuse_before_anything_is_opened() {
    with(1, "(sessions (most-a-user 2) (most 3))", |bed| async move {
        let mut callers: Vec<Caller> = (0..3).map(|_| Caller::new(bed.address)).collect();
        callers[0].run("START TRANSACTION").await.unwrap();
        callers[1].run("START TRANSACTION").await.unwrap();
        assert_eq!(callers[2].error("START TRANSACTION").await, "STATEMENT_REFUSED");
        let mut other = Caller { user: "other".into(), ..Caller::new(bed.address) };
        other.run("START TRANSACTION").await.unwrap();
        let mut third = Caller { user: "third".into(), ..Caller::new(bed.address) };
        assert_eq!(third.error("START TRANSACTION").await, "STATEMENT_REFUSED", "the gateway's own bound");
        callers[0].run("ROLLBACK").await.unwrap();
        callers[2].run("START TRANSACTION").await.expect("there is room again");
        assert_eq!(bed.engine(0).sessions(), 3);
    });
}

/// A second gateway of the same engines.
fn second(bed: &Rc<Bed>, more: &str) -> std::net::SocketAddr {
    let plan = GatewayPlan {
        number: 1,
        of: 2,
        listen: "127.0.0.1:0".into(),
        engines: bed.folder.join("engines.lisp"),
        more: more.into(),
    };
    let config = config::parse(&fleet::configuration(&plan), &bed.folder).expect("good");
    let module = Gateway::new(config.settings.clone(), 6);
    service::start(config, Box::new(module), bed.executor.clone()).unwrap().1
}

#[test]
fn another_gateway_goes_on_with_a_session_if_it_has_the_key_and_the_engine_still_lives() {
    let keys = std::env::temp_dir().join(format!("violetward-keys-{}", std::process::id()));
    std::fs::write(&keys, "(key one \"a secret of sixteen bytes or more\")").unwrap();
    let more = format!("(sessions (key-file {:?}))", keys.display().to_string());
    with(2, &more.clone(), |bed| async move {
        season(&bed);
        let mut caller = Caller::new(bed.address);
        caller.run("START TRANSACTION").await.unwrap();
        caller.run("INSERT INTO season VALUES (1, 'first')").await.unwrap();
        let other = second(&bed, &more);
        let stranger = second(&bed, "");
        sleep(MS(200)).await;
        caller.address = stranger;
        assert_eq!(caller.error("SELECT 1").await, "SESSION_INVALID", "without the key it is not believed");
        caller.address = other;
        caller.run("INSERT INTO season VALUES (2, 'second')").await.expect("it goes on there");
        // Keys change in service: the old one is believed for a while, the new one signs.
        std::fs::write(
            &keys,
            "(key two \"another secret of sixteen bytes\") (key one \"a secret of sixteen bytes or more\")",
        )
        .unwrap();
        sleep(MS(400)).await;
        assert_eq!(count(&mut caller, "season").await, 2);
        let mut fresh = Caller::new(other);
        fresh.run("START TRANSACTION").await.unwrap();
        assert!(fresh.token().starts_with("1.two."));
        std::fs::write(&keys, "(key two \"another secret of sixteen bytes\")").unwrap();
        sleep(MS(400)).await;
        assert_eq!(caller.error("COMMIT").await, "SESSION_INVALID", "its key is gone");
        fresh.address = bed.address;
        fresh.run("COMMIT").await.expect("the first gateway has the new key too");
        fresh.address = other;
        // The other one still has it as open; the engine knows better.
        let name = fresh.run("SELECT 1").await;
        assert!(name.is_ok(), "its client carries no transaction any more");
        std::fs::remove_file(&keys).ok();
    });
}

#[test]
fn a_token_of_an_earlier_life_of_its_engine_is_stale_at_every_gateway() {
    let keys = std::env::temp_dir().join(format!("violetward-keys-b-{}", std::process::id()));
    std::fs::write(&keys, "(key one \"a secret of sixteen bytes or more\")").unwrap();
    let more = format!("(sessions (key-file {:?}))", keys.display().to_string());
    with(1, &more.clone(), |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("CREATE TEMPORARY TABLE players AS SELECT 1 AS id").await.unwrap();
        let other = second(&bed, &more);
        bed.engine(0).fault(&Fault::Crash { for_ms: 50 });
        // Asked at once, before the other gateway may have learned of the new life: the engine itself knows.
        caller.address = other;
        for _ in 0..20 {
            match caller.run("SELECT count(*) FROM players").await {
                Ok(rows) => panic!("it read {rows:?}"),
                Err((name, message)) => {
                    let told =
                        matches!(name.as_str(), "SESSION_LOST" | "STATEMENT_REFUSED" | "STATEMENT_FAILED");
                    assert!(told, "{name}: {message}");
                }
            }
            sleep(MS(50)).await;
        }
        assert_eq!(caller.error("SELECT count(*) FROM players").await, "SESSION_LOST");
        // Somebody else's session has the same name in the new life, and a gateway that never knew the old one is asked.
        let mut stranger = Caller::new(bed.address);
        while stranger.run("CREATE TEMPORARY TABLE players AS SELECT 99 AS id").await.is_err() {
            sleep(MS(50)).await;
        }
        caller.address = second(&bed, &more);
        sleep(MS(300)).await;
        for _ in 0..60 {
            match caller.run("SELECT count(*) FROM players").await {
                Ok(rows) => panic!("it read another's table: {rows:?}"),
                Err((name, _)) if name == "SESSION_LOST" => return drop(std::fs::remove_file(&keys)),
                Err((name, message)) => assert_eq!(name, "STATEMENT_REFUSED", "{message}"),
            }
            sleep(MS(100)).await;
        }
        panic!("the loss is not told");
    });
}

#[test]
fn what_lives_in_the_client_travels_and_is_not_pinned() {
    with(2, "", |bed| async move {
        let mut caller = Caller::new(bed.address);
        caller.run("SET SESSION query_max_run_time = '3s'").await.unwrap();
        caller.run("USE memory.league").await.unwrap();
        assert_eq!(caller.session.len(), 1);
        bed.write_list(|list| list.truncate(1));
        sleep(MS(200)).await;
        caller.run("SELECT 1").await.expect("on any engine");
        assert_eq!(bed.host.read_core(|core| core.sessions()), (0, 0));
    });
}

#[test]
fn a_notebooks_connection_is_a_session_for_as_long_as_it_lives() {
    with(2, "(kernel (connection-file \"kernel.json\"))", |bed| async move {
        season(&bed);
        let file = bed.folder.join("kernel.json");
        let cell = |sql: &str| Query { class: Some("lookup".into()), ..Query::new(sql) };
        let mut one = KernelClient::connect(&file).await.unwrap();
        let mut two = KernelClient::connect(&file).await.unwrap();
        one.run(&cell("START TRANSACTION")).await.unwrap();
        one.run(&cell("INSERT INTO season VALUES (1, 'cell')")).await.unwrap();
        one.run(&cell("CREATE TEMPORARY TABLE mine AS SELECT 5 AS a")).await.unwrap();
        one.run(&cell("PREPARE p FROM SELECT a FROM mine")).await.unwrap();
        assert_eq!(one.run(&cell("EXECUTE p")).await.unwrap().rows, [[5]]);
        assert!(matches!(two.run(&cell("SELECT a FROM mine")).await, Err(Ending::Declined { .. })));
        one.run(&cell("COMMIT")).await.unwrap();
        assert_eq!(one.run(&cell("SELECT a FROM mine")).await.unwrap().rows, [[5]], "the table outlives it");
        assert_eq!(bed.engines.borrow().iter().map(|e| e.count("season")).sum::<i64>(), 1);
        two.run(&cell("START TRANSACTION")).await.unwrap();
        let held = |bed: &Bed| bed.engines.borrow().iter().map(|e| e.sessions()).sum::<usize>();
        assert_eq!(held(&bed), 2);
        drop((one, two));
        for _ in 0..200 {
            if held(&bed) == 0 {
                return;
            }
            sleep(MS(20)).await;
        }
        panic!("what the connections held is still there: {}", held(&bed));
    });
}
