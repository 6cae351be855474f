//! Runs gateways of the `violetward` library for a simulator: reads one JSON batch of events per line from
//! standard input and writes one JSON reply per line to standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use violetward::{Action, EngineId, Event, Gateway};
use wire::{Batch, GatewayReply, InputEvent, Output, Reply};

/// One gateway, with the addresses of all engines that its lists have contained so far.
struct Instance {
    gateway: Gateway,
    addresses: BTreeMap<EngineId, String>,
}

impl Instance {
    /// Passes an event to the gateway and appends its actions; a panic of the gateway becomes a `Crash`
    /// output.
    fn handle(&mut self, now: u64, event: Event, output: &mut Vec<Output>) {
        let mut actions: Vec<Action> = Vec::new();
        let result = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        output.extend(actions.into_iter().filter_map(|action| wire::output(action, &self.addresses)));
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            output.push(Output::Crash { reason_text: text.to_string() });
        }
    }
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    /// The engine lists of `List` events by buffer number, shared by all gateways.
    lists: BTreeMap<u64, Vec<wire::EngineLine>>,
}

impl Adapter {
    fn reply(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let mut reply = Reply { gateways: Vec::new() };
        for input in batch.gateways {
            let mut output = Vec::new();
            for event in input.events {
                self.handle(batch.at_time_us, input.gateway, event, &mut output)?;
            }
            if !output.is_empty() {
                reply.gateways.push(GatewayReply { gateway: input.gateway, output });
            }
        }
        Ok(reply)
    }

    /// Applies one input event to gateway `number` and appends the gateway's outputs.
    fn handle(
        &mut self,
        now: u64,
        number: u64,
        event: InputEvent,
        output: &mut Vec<Output>,
    ) -> Result<(), String> {
        let event = match event {
            InputEvent::Configure { init_seed, boot_info } => {
                let gateway = Gateway::new(boot_info.settings()?, init_seed);
                self.instances.insert(number, Instance { gateway, addresses: BTreeMap::new() });
                return Ok(());
            }
            InputEvent::Teardown {} => {
                self.instances.remove(&number);
                return Ok(());
            }
            InputEvent::List { buffer, lines } => {
                self.lists.insert(buffer, lines);
                return Ok(());
            }
            InputEvent::Endpoints { buffer, kind, .. } => {
                let none = Vec::new();
                let lines = match (kind, self.lists.get(&buffer)) {
                    (wire::ListKind::Lost, _) => &none,
                    (_, Some(lines)) => lines,
                    (_, None) => return Err(format!("Endpoints: no List event has filled buffer {buffer}")),
                };
                if let Some(instance) = self.instances.get_mut(&number) {
                    let addresses = lines.iter().map(|line| (wire::engine_id(&line.node), line.node.clone()));
                    instance.addresses.extend(addresses);
                }
                wire::engines_event(kind, lines)
            }
            event => match wire::stateless_event(event)? {
                Some(event) => event,
                None => return Ok(()),
            },
        };
        let instance =
            self.instances.get_mut(&number).ok_or(format!("gateway {number}: event before Configure"))?;
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
