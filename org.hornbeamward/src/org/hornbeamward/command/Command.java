package org.hornbeamward.command;

/** A change of the replicated state, accepted or rejected by rule at its offset. Immutable. */
public sealed interface Command
        permits BringBackDomain,
                CancelJob,
                ChangeSlots,
                EndTask,
                JoinMember,
                LeaveMember,
                LoseWorker,
                PlaceTask,
                PublishConfig,
                RecordCheckpoint,
                RegisterWorker,
                RejectJob,
                ReleaseWorker,
                RemoveAbsentMember,
                RenewMember,
                ReportFigures,
                StopTask,
                SubmitJob,
                SuspectMember,
                TakeOutDomain,
                TrustMember {}
