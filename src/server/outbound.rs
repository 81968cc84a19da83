//! The outbound I/O threads: calls to the state service, to the cloud and to workers, and frames to peers.
//!
//! Each thread takes calls from a channel and puts the answers into the inbox. The event loop never blocks on any of them.

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

/// Number of threads that make general calls to the state service.
const STORE_THREADS: usize = 4;
/// Number of threads that send the fencing token to workers. Each worker that doesn't answer blocks a thread for a timeout.
const FENCING_THREADS: usize = 6;
/// Request timeout of the state service; a watch has the time that it stays open in addition.
const STORE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Most calls to the cloud that may be queued; the autoscaler has one in flight at a time.
const CLOUD_QUEUE_LIMIT: usize = 4;
/// Most reachability probes that may be queued; further ones are dropped, since they would find out the same.
const PROBE_QUEUE_LIMIT: usize = 1;

/// A call to the state service, and the request id for its answer.
struct StoreCall {
    id: u64,
    request: StoreRequest,
}

/// A fencing probe: sends the fencing token of an epoch to one worker.
struct FencingCall {
    epoch: u64,
    probe: FencingProbe,
}

/// The event loop's ends of the channels to the outbound threads.
pub(super) struct Outbound {
    /// Peers' send queues by member index. Their size in bytes is bounded; frames that do not fit are dropped.
    peers: HashMap<usize, SendQueue<Frame>>,
    store: StoreChannels,
    cloud: Sender<CloudRequest>,
    probes: Sender<Vec<String>>,
    fencing: Sender<FencingCall>,
    /// The newest epoch whose fencing token is being sent.
    fencing_epoch: Arc<AtomicU64>,
}

/// Channels to the threads that call the state service. They are unbounded: the controller limits its calls itself.
struct StoreChannels {
    /// All other calls; served by several threads.
    general: Sender<StoreCall>,
    /// Calls that membership depends on; served by a thread of their own, so that no other call delays them.
    membership: Sender<StoreCall>,
    /// Watches, each of which blocks its thread for long.
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

    /// Sends a frame to a peer, unless its queue is full.
    pub(super) fn send_frame(&self, member: usize, frame: Frame) {
        if let Some(queue) = self.peers.get(&member) {
            peer::enqueue(queue, frame);
        }
    }

    /// Calls the state service. Watches and calls that membership depends on go to threads of their own.
    pub(super) fn call_store(&self, id: u64, request: StoreRequest, is_for_membership: bool) {
        let channel = match &request {
            StoreRequest::Watch(..) => &self.store.watch,
            _ if is_for_membership => &self.store.membership,
            _ => &self.store.general,
        };
        let _ = channel.send(StoreCall { id, request });
    }

    /// Calls the cloud.
    pub(super) fn call_cloud(&self, request: CloudRequest) {
        let _ = self.cloud.send(request);
    }

    /// Checks whether any of these workers is reachable. Dropped if such a check is already queued.
    pub(super) fn probe_any(&self, addresses: Vec<String>) {
        let _ = self.probes.try_send(addresses);
    }

    /// Sends the fencing token of an epoch to workers. Queued probes of older epochs are dropped.
    pub(super) fn send_fencing_probes(&self, epoch: u64, probes: Vec<FencingProbe>) {
        self.fencing_epoch.store(epoch, Ordering::Relaxed);
        for probe in probes {
            let _ = self.fencing.send(FencingCall { epoch, probe });
        }
    }
}

fn connect_peers(settings: &Settings) -> HashMap<usize, SendQueue<Frame>> {
    let member_index = |name: &String| settings.members.iter().position(|member| member == name);
    let connect =
        |seed: &crate::config::settings::Seed| Some((member_index(&seed.member)?, peer::dial(seed.addr)));
    settings.seeds.iter().filter_map(connect).collect()
}

fn start_store_threads(address: SocketAddrV4, inbox: &InboxSender) -> Result<StoreChannels, ServerError> {
    let (general, general_calls) = unbounded();
    let (membership, membership_calls) = unbounded();
    let (watch, watch_calls) = unbounded();
    let general_threads = (0..STORE_THREADS).map(|number| (format!("store-{number}"), general_calls.clone()));
    let dedicated_threads =
        [("store-ring".to_owned(), membership_calls), ("store-watch".to_owned(), watch_calls)];
    for (name, calls) in general_threads.chain(dedicated_threads) {
        let inbox = inbox.clone();
        spawn(name, move || run_store_calls(&calls, address, &inbox))?;
    }
    Ok(StoreChannels { general, membership, watch })
}

fn run_store_calls(calls: &Receiver<StoreCall>, address: SocketAddrV4, inbox: &InboxSender) {
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
    let (sender, requests) = bounded::<CloudRequest>(CLOUD_QUEUE_LIMIT);
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
    let (sender, probes) = bounded::<Vec<String>>(PROBE_QUEUE_LIMIT);
    let inbox = inbox.clone();
    spawn("probe".to_owned(), move || {
        while let Ok(addresses) = probes.recv() {
            let any_reachable = addresses.iter().any(|address| worker_probe::is_reachable(address));
            if inbox.send(Event::Probed(any_reachable)).is_err() {
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
    // Unbounded: at most one call per machine and epoch.
    let (sender, calls) = unbounded();
    for number in 0..FENCING_THREADS {
        let (calls, newest_epoch, inbox) = (calls.clone(), newest_epoch.clone(), inbox.clone());
        spawn(format!("fencing-{number}"), move || run_fencing_probes(&calls, &newest_epoch, &inbox))?;
    }
    Ok(sender)
}

fn run_fencing_probes(calls: &Receiver<FencingCall>, newest_epoch: &AtomicU64, inbox: &InboxSender) {
    let agent = worker_probe::build_fencing_agent();
    while let Ok(FencingCall { epoch, probe }) = calls.recv() {
        // A newer epoch has begun: an answer to an older token is of no use.
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
