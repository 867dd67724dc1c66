package org.hornbeamward.dispatch.port;

import io.vavr.control.Either;
import java.util.List;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.lib.FailureDomainId;

/** Decodes records that operators and workers write to the store. */
public interface Documents {
    /** A record that an operator has written. */
    sealed interface OperatorDocument {
        /**
         * A configuration.
         *
         * @param config the configuration in full
         */
        record Config(ClusterConfig config) implements OperatorDocument {}

        /**
         * No more tasks may be started in a failure domain while the record exists.
         *
         * @param domain the failure domain
         */
        record DomainOut(FailureDomainId domain) implements OperatorDocument {}

        /**
         * A maintenance wave over a set of machines.
         *
         * @param number number of the wave
         * @param machines names of the machines
         * @param deadlineSeconds time allowed for the wave
         * @param maxConcurrentCount machines that may be down at the same time
         */
        record Wave(
                int number, List<String> machines, double deadlineSeconds, int maxConcurrentCount)
                implements OperatorDocument {
            /** Copies the machines. */
            public Wave {
                machines = List.copyOf(machines);
            }
        }
    }

    /**
     * Decodes an operator's record.
     *
     * @param key key of the record
     * @param value value of the record
     * @return the document, or why it cannot be used
     */
    Either<String, OperatorDocument> decodeOperatorRecord(String key, byte[] value);

    /**
     * Decodes a worker's entry.
     *
     * @param key key of the record
     * @param value value of the record
     * @return the entry, or why it cannot be used
     */
    Either<String, WorkerEntry> decodeWorkerEntry(String key, byte[] value);
}
