package org.hornbeamward.dispatch.account;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of an API key. Only digests are kept, so that no log line, metric, state dump
 * or error can show a key, and the time of a look-up tells nothing about the keys that are known.
 */
public final class KeyDigest {
    private final byte[] mBytes;

    private KeyDigest(byte[] bytes) {
        mBytes = bytes;
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new KeyDigest(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime provides SHA-256", e);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest digest && MessageDigest.isEqual(mBytes, digest.mBytes);
    }

    @Override
    public int hashCode() {
        return ByteBuffer.wrap(mBytes).getInt();
    }

    @Override
    public String toString() {
        return "KeyDigest";
    }
}
