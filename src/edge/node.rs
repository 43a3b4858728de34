//! Puts an entry node together.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use super::beliefs::Beliefs;
use super::caller_entry::CallerEntry;
use super::drain::wait_until_done;
use super::lenders::Lenders;
use super::pages::Pages;
use super::peers::EdgePeerApi;
use super::settings::EdgeSettings;
use super::sightings;
use super::store_watch::{ROUTING_DOCUMENT, StoreWatch};
use crate::clock::unix_ms;
use crate::configuration::document::DocumentStore;
use crate::configuration::document_exchange::DocumentExchange;
use crate::forward::directory::Directory;
use crate::forward::forwarder::Forwarder;
use crate::forward::observation::Observations;
use crate::forward::request_crashes::RequestCrashes;
use crate::forward::retry_budgets::RetryBudgets;
use crate::forward::sessions::Sessions;
use crate::http::serve;
use crate::membership::gossip::{Membership, MembershipSettings};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::peer::{PeerClient, serve_peers};
use crate::observe::metrics::Metrics;
use crate::platform::store::Store;
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::stand_in::server::bind;

/// Time between probes of other nodes.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between looks at which nodes live.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// A running entry node.
pub struct EdgeNode {
    settings: EdgeSettings,
    membership: Membership,
    forwarder: Arc<Forwarder<Beliefs>>,
    trigger: ShutdownTrigger,
}

impl EdgeNode {
    /// Binds all addresses and starts to serve; counters are served at
    /// `metrics_address` as well, if there is one.
    pub async fn start(
        settings: EdgeSettings,
        metrics: Arc<Metrics>,
        metrics_address: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let peers = PeerClient::default();
        let membership = join(&settings, peers.clone(), shutdown.clone()).await?;
        let sightings = Observations::default();
        let forwarder = Arc::new(Forwarder {
            routing: ArcSwapOption::empty(),
            directory: Directory::new(sightings.clone()),
            budgets: RetryBudgets::new(settings.retry_limits()),
            request_crashes: RequestCrashes::new(sightings.clone()),
            sessions: Sessions::new(sightings.clone()),
            observations: sightings,
            metrics,
            data_centre: settings.data_centre.clone(),
            node: Beliefs::new(
                settings.is_seed(),
                Lenders {
                    membership: membership.clone(),
                    peers: peers.clone(),
                },
            ),
            in_flight: Arc::default(),
        });
        let watch = StoreWatch {
            store: Store::new(settings.store),
            forwarder: forwarder.clone(),
            exchange: exchange(&membership, &peers),
            upstreams: Arc::default(),
            word: Arc::default(),
        };
        listen_to_peers(&settings, &watch, &shutdown)?;
        follow(&settings, watch);
        let pages = Arc::new(Pages {
            forwarder: forwarder.clone(),
            address_keep_max: settings.address_keep,
        });
        let page_addresses = [
            Some(settings.readiness),
            Some(settings.addresses),
            metrics_address,
        ];
        for address in page_addresses.into_iter().flatten() {
            tokio::spawn(serve(bind(address)?, pages.clone(), shutdown.clone()));
        }
        let callers = Arc::new(CallerEntry {
            forwarder: forwarder.clone(),
        });
        tokio::spawn(serve(bind(settings.callers)?, callers, shutdown));
        Ok(Self {
            settings,
            membership,
            forwarder,
            trigger,
        })
    }

    /// Stops taking part, ends what is in flight as far as the grace period
    /// allows, and cuts the rest.
    pub async fn drain(self) {
        self.forwarder.node.begin_stop();
        self.membership.leave();
        let in_flight = self.forwarder.in_flight.clone();
        let node = &self.forwarder.node;
        let count = || Arc::strong_count(&in_flight) - 2;
        wait_until_done(self.settings.grace, count, || node.say_cut_is_near()).await;
        self.membership.announce_left();
        self.trigger.abort();
    }
}

async fn join(
    settings: &EdgeSettings,
    peers: PeerClient,
    shutdown: Shutdown,
) -> io::Result<Membership> {
    let me = Member {
        node: settings.node.clone(),
        incarnation: unix_ms(),
        peer_address: settings.peers,
        caller_address: settings.callers,
        data_centre: settings.data_centre.clone(),
        leaving: false,
        demand_count: 0,
    };
    let settings = MembershipSettings {
        me,
        seeds: settings.seeds.clone(),
        interval: PROBE_INTERVAL,
        faults: LinkFaults::default(),
    };
    Membership::start_with(settings, peers, shutdown).await
}

fn exchange(membership: &Membership, peers: &PeerClient) -> DocumentExchange {
    DocumentExchange {
        name: ROUTING_DOCUMENT,
        documents: Arc::new(DocumentStore::default()),
        membership: membership.clone(),
        peers: peers.clone(),
        faults: LinkFaults::default(),
        changed: watch::Sender::new(0),
    }
}

fn listen_to_peers(
    settings: &EdgeSettings,
    watch: &StoreWatch,
    shutdown: &Shutdown,
) -> io::Result<()> {
    let exchange = &watch.exchange;
    let api = Arc::new(EdgePeerApi {
        membership: exchange.membership.clone(),
        documents: exchange.documents.clone(),
        upstreams: watch.upstreams.clone(),
        forwarder: watch.forwarder.clone(),
    });
    let traffic = exchange.peers.traffic().clone();
    let listener = bind(settings.peers)?;
    tokio::spawn(serve_peers(listener, api, traffic, shutdown.clone()));
    Ok(())
}

fn follow(settings: &EdgeSettings, watch: StoreWatch) {
    let members = watch.exchange.membership.clone();
    let me = settings.node.clone();
    let forwarder = watch.forwarder.clone();
    tokio::spawn(async move {
        loop {
            forwarder.node.set_nodes(&me, &members.alive());
            tokio::time::sleep(MEMBERS_INTERVAL).await;
        }
    });
    let exchange = watch.exchange.clone();
    let membership = exchange.membership.clone();
    tokio::spawn(sightings::exchange(membership, watch.forwarder.clone()));
    tokio::spawn(async move { exchange.follow_peers().await });
    tokio::spawn(watch.clone().follow_peers());
    tokio::spawn(watch.clone().follow_config());
    tokio::spawn(watch.clone().follow_upstreams());
    tokio::spawn(watch.clone().expire_upstreams());
    tokio::spawn(watch.apply_configs());
}
