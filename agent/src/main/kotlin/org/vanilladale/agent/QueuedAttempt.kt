package org.vanilladale.agent

import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.schema.Submit

/** Returns the place that the attempt [id] of [submit] takes in the queue for slots. */
internal fun queuedRequestOf(id: AttemptId, submit: Submit): QueuedRequest<AttemptId> =
    QueuedRequest(id, submit.workspace, submit.priority, submit.deadline)
