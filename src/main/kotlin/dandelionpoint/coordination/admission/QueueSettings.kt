/* Limits and factors of the team queues. */
package dandelionpoint.coordination.admission

/** [tasksPerTeam] bounds the tasks reserved or queued for a team on one VM; [safety] multiplies predicted finish times. */
internal data class QueueSettings(val tasksPerTeam: Int = 20_000, val safety: Double = 1.0)
