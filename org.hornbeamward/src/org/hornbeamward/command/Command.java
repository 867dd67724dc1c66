package org.hornbeamward.command;

/** A change of the replicated state, which is accepted or rejected when applied. Immutable. */
public sealed interface Command
        permits ChangeSlots,
                EndTask,
                IdentifiedCommand,
                JoinMember,
                LeaveMember,
                RemoveLostWorker,
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
