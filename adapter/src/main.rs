//! Speaks the wire on standard input and output: one batch of events a line, one reply a line.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use violetward::{Action, EngineId, Event, Gateway};
use wire::{Batch, News, Output, Reply, ReplyOf};

/// One gateway with the engines' addresses that it has been told.
struct Instance {
    gateway: Gateway,
    nodes: BTreeMap<EngineId, String>,
}

impl Instance {
    fn handle(&mut self, now: u64, event: Event, output: &mut Vec<Output>) {
        let mut actions: Vec<Action> = Vec::new();
        let done = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        output.extend(actions.into_iter().filter_map(|action| wire::output(action, &self.nodes)));
        if let Err(panic) = done {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            output.push(Output::Crash { reason_text: text.to_string() });
        }
    }
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<wire::Line>>,
}

impl Adapter {
    fn reply(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let mut reply = Reply { gateways: Vec::new() };
        for part in batch.gateways {
            let mut output = Vec::new();
            for news in part.news {
                self.take(batch.at_time_us, part.i, news, &mut output)?;
            }
            if !output.is_empty() {
                reply.gateways.push(ReplyOf { i: part.i, output });
            }
        }
        Ok(reply)
    }

    fn take(&mut self, now: u64, i: u64, news: News, output: &mut Vec<Output>) -> Result<(), String> {
        let event = match news {
            News::Configure { init_seed, boot_info } => {
                let gateway = Gateway::new(boot_info.settings()?, init_seed);
                self.instances.insert(i, Instance { gateway, nodes: BTreeMap::new() });
                return Ok(());
            }
            News::Teardown {} => {
                self.instances.remove(&i);
                return Ok(());
            }
            News::List { buffer, lines } => {
                self.lists.insert(buffer, lines);
                return Ok(());
            }
            News::Endpoints { buffer, kind, .. } => {
                let none = Vec::new();
                let lines = match (kind, self.lists.get(&buffer)) {
                    (wire::ListKind::Lost, _) => &none,
                    (_, Some(lines)) => lines,
                    (_, None) => return Err(format!("Endpoints: no list has number {buffer}")),
                };
                if let Some(instance) = self.instances.get_mut(&i) {
                    let nodes = lines.iter().map(|l| (wire::engine_id(&l.node), l.node.clone()));
                    instance.nodes.extend(nodes);
                }
                wire::engines(kind, lines)
            }
            other => match wire::event(other)? {
                Some(event) => event,
                None => return Ok(()),
            },
        };
        let instance = self.instances.get_mut(&i).ok_or(format!("gateway {i} has no Configure yet"))?;
        instance.handle(now, event, output);
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut output = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("cannot read line {}: {e}", number + 1))?;
        let reply = adapter.reply(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("cannot write: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("violetward-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
