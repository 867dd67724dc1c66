package org.hornbeamward.storage.internal;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP response whose body is within the size limit.
 *
 * @param status HTTP status code
 * @param headers header fields
 * @param body complete body
 */
public record HttpResponse(int status, HttpHeaders headers, byte[] body) {}
