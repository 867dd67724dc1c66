package org.hornbeamward.storage.internal;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * One HTTP response within its size limit.
 *
 * @param status HTTP status code
 * @param headers header fields
 * @param body the whole body
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {}
