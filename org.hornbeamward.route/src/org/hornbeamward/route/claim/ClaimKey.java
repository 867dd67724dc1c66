package org.hornbeamward.route.claim;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Hash of a service and a caller's Idempotency-Key. Method, path and body are not part of the hash
 * but of the claim's digest, so that the reuse of a key for another request is detected.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record ClaimKey(long high, long low) {

    /**
     * Computes the key of a request.
     *
     * @param service name of the service
     * @param idempotencyKey value of the header field Idempotency-Key
     * @return the hash
     */
    public static ClaimKey of(String service, String idempotencyKey) {
        HashValue128 hash =
                Hashing.murmur3_128()
                        .hashTo128Bits(
                                idempotencyKey,
                                (key, sink) -> sink.putString(service).putString(key));
        return new ClaimKey(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /**
     * Computes the digest that distinguishes requests with the same key.
     *
     * @param method HTTP method
     * @param rawUri path and query as received
     * @param body request body
     * @return the digest
     */
    public static long digest(String method, String rawUri, byte[] body) {
        return Hashing.komihash5_0()
                .hashToLong(
                        body,
                        (bytes, sink) ->
                                sink.putString(method).putString(rawUri).putByteArray(bytes));
    }
}
