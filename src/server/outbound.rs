//! Threads that carry out what takes time: calls of the state service, of the cloud and of workers, and frames to peers.
//!
//! Each thread takes orders from a channel and brings answers to the inbox. The event loop never blocks on any of them.

use super::inbox::InboxSender;
use super::{ServerError, spawn, worker_probe};
use crate::autoscaler::{CloudClient, CloudRequest};
use crate::config::settings::Settings;
use crate::controller::Event;
use crate::machine_shard::FencingProbe;
use crate::peer::{self, Frame};
use crate::state_store::{StoreClient, StoreRequest};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use hazelsaddle_cluster::send_queue::SendQueue;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Threads that call the state service.
const STORE_THREADS: usize = 4;
/// Threads that tell workers the fencing token. Those that don't answer cost a timeout each.
const FENCING_THREADS: usize = 6;
/// How long an answer of the state service is waited for, beside the time that a watch stays open.
const STORE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Calls of the cloud that may wait; the autoscaler has one under way at a time.
const CLOUD_QUEUE: usize = 4;
/// Probes of workers that may wait; a further one is dropped, as it would tell nothing else.
const PROBE_QUEUE: usize = 1;

/// A call of the state service, and the number that its answer is to bear.
struct StoreCall {
    id: u64,
    request: StoreRequest,
}

/// A worker to be told the fencing token of an epoch.
struct FencingCall {
    epoch: u64,
    probe: FencingProbe,
}

/// The event loop's ends of the channels to the edge threads.
pub(super) struct Outbound {
    /// Peers' send queues by member index. Bounded in bytes; what does not fit is dropped.
    peers: HashMap<usize, SendQueue<Frame>>,
    store: StoreLines,
    cloud: Sender<CloudRequest>,
    probes: Sender<Vec<String>>,
    fencing: Sender<FencingCall>,
    /// The epoch whose token is told now.
    fencing_epoch: Arc<AtomicU64>,
}

/// Channels to the threads that call the state service. Unbounded: the controller limits its calls itself.
struct StoreLines {
    /// Most calls; several threads.
    general: Sender<StoreCall>,
    /// Calls that membership depends on; nothing holds them up.
    membership: Sender<StoreCall>,
    /// A watch stays open for long.
    watch: Sender<StoreCall>,
}

impl Outbound {
    /// Starts the threads.
    pub(super) fn start(settings: &Settings, inbox: &InboxSender) -> Result<Outbound, ServerError> {
        let peers = connect_peers(settings);
        let store = start_store_threads(settings.state, inbox)?;
        let cloud = start_cloud_thread(settings.cloud, inbox)?;
        let probes = start_probe_thread(inbox)?;
        let fencing_epoch = Arc::new(AtomicU64::new(0));
        let fencing = start_fencing_threads(&fencing_epoch, inbox)?;
        Ok(Outbound { peers, store, cloud, probes, fencing, fencing_epoch })
    }

    /// Sends a frame to a controller, unless its queue is full.
    pub(super) fn send_frame(&self, member: usize, frame: Frame) {
        if let Some(queue) = self.peers.get(&member) {
            peer::enqueue(queue, frame);
        }
    }

    /// Calls the state service; `membership` calls have a thread of their own.
    pub(super) fn call_store(&self, id: u64, request: StoreRequest, membership: bool) {
        let line = match &request {
            StoreRequest::Watch(..) => &self.store.watch,
            _ if membership => &self.store.membership,
            _ => &self.store.general,
        };
        let _ = line.send(StoreCall { id, request });
    }

    /// Calls the cloud.
    pub(super) fn call_cloud(&self, request: CloudRequest) {
        let _ = self.cloud.send(request);
    }

    /// Finds out whether any of these workers answers, unless that is being done.
    pub(super) fn probe_any(&self, addresses: Vec<String>) {
        let _ = self.probes.try_send(addresses);
    }

    /// Tells workers the fencing token of an epoch, instead of those that are still to be told an older one.
    pub(super) fn send_fencing_probes(&self, epoch: u64, probes: Vec<FencingProbe>) {
        self.fencing_epoch.store(epoch, Ordering::Relaxed);
        for probe in probes {
            let _ = self.fencing.send(FencingCall { epoch, probe });
        }
    }
}

fn connect_peers(settings: &Settings) -> HashMap<usize, SendQueue<Frame>> {
    let index_of = |name: &String| settings.members.iter().position(|member| member == name);
    let connect =
        |seed: &crate::config::settings::Seed| Some((index_of(&seed.member)?, peer::dial(seed.addr)));
    settings.seeds.iter().filter_map(connect).collect()
}

fn start_store_threads(address: SocketAddrV4, inbox: &InboxSender) -> Result<StoreLines, ServerError> {
    let (general, general_calls) = unbounded();
    let (membership, membership_calls) = unbounded();
    let (watch, watch_calls) = unbounded();
    let general_lines = (0..STORE_THREADS).map(|number| (format!("store-{number}"), general_calls.clone()));
    let own_lines = [("store-ring".to_owned(), membership_calls), ("store-watch".to_owned(), watch_calls)];
    for (name, calls) in general_lines.chain(own_lines) {
        let inbox = inbox.clone();
        spawn(name, move || call_store_for_each(&calls, address, &inbox))?;
    }
    Ok(StoreLines { general, membership, watch })
}

fn call_store_for_each(calls: &Receiver<StoreCall>, address: SocketAddrV4, inbox: &InboxSender) {
    let client = StoreClient::new(address, STORE_TIMEOUT);
    while let Ok(StoreCall { id, request }) = calls.recv() {
        let answer = client.call(&request);
        if inbox.send_urgent(Event::Store { id, answer }).is_err() {
            return;
        }
    }
}

fn start_cloud_thread(
    address: SocketAddrV4,
    inbox: &InboxSender,
) -> Result<Sender<CloudRequest>, ServerError> {
    let (sender, requests) = bounded::<CloudRequest>(CLOUD_QUEUE);
    let inbox = inbox.clone();
    spawn("cloud".to_owned(), move || {
        let client = CloudClient::new(address);
        while let Ok(request) = requests.recv() {
            let answer = client.call(&request);
            if inbox.send(Event::Cloud { request, answer }).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}

fn start_probe_thread(inbox: &InboxSender) -> Result<Sender<Vec<String>>, ServerError> {
    let (sender, probes) = bounded::<Vec<String>>(PROBE_QUEUE);
    let inbox = inbox.clone();
    spawn("probe".to_owned(), move || {
        while let Ok(addresses) = probes.recv() {
            let reached = addresses.iter().any(|address| worker_probe::is_reachable(address));
            if inbox.send(Event::Probed(reached)).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}

fn start_fencing_threads(
    newest_epoch: &Arc<AtomicU64>,
    inbox: &InboxSender,
) -> Result<Sender<FencingCall>, ServerError> {
    // Unbounded: as many as there are machines, once an epoch.
    let (sender, calls) = unbounded();
    for number in 0..FENCING_THREADS {
        let (calls, newest_epoch, inbox) = (calls.clone(), newest_epoch.clone(), inbox.clone());
        spawn(format!("fencing-{number}"), move || probe_for_each(&calls, &newest_epoch, &inbox))?;
    }
    Ok(sender)
}

fn probe_for_each(calls: &Receiver<FencingCall>, newest_epoch: &AtomicU64, inbox: &InboxSender) {
    let agent = worker_probe::fencing_agent();
    while let Ok(FencingCall { epoch, probe }) = calls.recv() {
        // The answer to an older epoch's token would say nothing.
        if epoch < newest_epoch.load(Ordering::Relaxed) {
            continue;
        }
        if let Some(heartbeat) = worker_probe::send_fencing_token(&agent, epoch, &probe)
            && inbox.send(Event::FencingProbeAnswered(heartbeat)).is_err()
        {
            return;
        }
    }
}
