//! The engines of the current endpoint list, each with its client.

use crate::context::NodeContext;
use crate::engines::{Engine, EngineHandle, Protocol};
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState, ListKind, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::{debug, warn};

struct ListedEngine {
    client: EngineHandle,
    machine_type: u8,
}

/// Engines by their ids.
#[derive(Default)]
pub(super) struct EngineTable {
    engines: BTreeMap<EndpointId, ListedEngine>,
}

impl EngineTable {
    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(super) fn get(&self, id: EndpointId) -> Option<&EngineHandle> {
        self.engines.get(&id).map(|engine| &engine.client)
    }

    pub(super) fn clients(&self) -> impl Iterator<Item = &EngineHandle> {
        self.engines.values().map(|engine| &engine.client)
    }

    /// Whether an engine only prefills; false for an engine that is not in the list.
    pub(super) fn is_prefill_only(&self, context: &NodeContext, id: EndpointId) -> bool {
        self.engines
            .get(&id)
            .is_some_and(|engine| role_of(context, engine.machine_type) == Some(Role::Prefill))
    }

    /// Applies an endpoint list. Returns its endpoints for the router, without those of unknown machine types.
    pub(super) fn apply(
        &mut self,
        context: &Arc<NodeContext>,
        protocol: &dyn Protocol,
        kind: ListKind,
        engines: Vec<Engine>,
    ) -> Vec<Endpoint> {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.remove_unlisted(&engines);
        }
        let mut endpoints = Vec::with_capacity(engines.len());
        for engine in engines {
            let endpoint = engine.endpoint;
            let Some(role) = role_of(context, endpoint.machine_type) else {
                warn!(
                    engine = endpoint.id.0,
                    machine_type = endpoint.machine_type,
                    "endpoint of unknown machine type ignored"
                );
                continue;
            };
            debug!(engine = endpoint.id.0, ?role, state = ?endpoint.state, address = %engine.address, "endpoint listed");
            self.update(context, protocol, &engine);
            endpoints.push(endpoint);
        }
        endpoints
    }

    fn remove_unlisted(&mut self, engines: &[Engine]) {
        let listed: BTreeSet<EndpointId> = engines.iter().map(|e| e.endpoint.id).collect();
        for (id, engine) in &self.engines {
            if !listed.contains(id) {
                engine.client.set_draining(true);
            }
        }
        self.engines.retain(|id, _| listed.contains(id));
    }

    fn update(&mut self, context: &Arc<NodeContext>, protocol: &dyn Protocol, engine: &Engine) {
        let endpoint = &engine.endpoint;
        let moved = self
            .get(endpoint.id)
            .is_some_and(|client| client.address() != engine.address);
        if moved || endpoint.state == EndpointState::Removed {
            if let Some(removed) = self.engines.remove(&endpoint.id) {
                removed.client.set_draining(true);
            }
        }
        if endpoint.state != EndpointState::Removed {
            let listed = self
                .engines
                .entry(endpoint.id)
                .or_insert_with(|| ListedEngine {
                    client: protocol.engine_client(context, engine),
                    machine_type: endpoint.machine_type,
                });
            listed.machine_type = endpoint.machine_type;
            listed
                .client
                .set_draining(endpoint.state != EndpointState::Ready);
        }
    }
}

fn role_of(context: &NodeContext, machine_type: u8) -> Option<Role> {
    let roles = &context.router_settings.roles;
    roles.get(usize::from(machine_type)).copied()
}
