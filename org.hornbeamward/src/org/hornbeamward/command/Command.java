package org.hornbeamward.command;

/** A change of the replicated state, accepted or rejected by rule at its offset. Immutable. */
public sealed interface Command
        permits ChangeSlots,
                EndTask,
                IdentifiedCommand,
                JoinMember,
                LeaveMember,
                LoseWorker,
                PlaceTask,
                RecordCheckpoint,
                RegisterWorker,
                RejectJob,
                RemoveAbsentMember,
                RenewMember,
                ReportFigures,
                StopTask,
                SuspectMember,
                TrustMember {}
