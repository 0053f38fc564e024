package org.vanilladale.gateway

/**
 * How an attempt at a request takes part in its answer while another one may run beside it.
 *
 * @property isAlone whether no other attempt has a place at a target
 * @property claim ends all other attempts; called before this one writes to the caller
 * @property onSilent called with a description each time the target has been silent for too long
 */
internal class AttemptCoordination(
    val isAlone: () -> Boolean,
    val claim: () -> Unit,
    val onSilent: (String) -> Unit,
)
