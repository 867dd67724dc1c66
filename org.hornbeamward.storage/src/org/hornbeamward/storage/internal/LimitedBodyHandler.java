package org.hornbeamward.storage.internal;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.OversizedInput;
import org.jspecify.annotations.Nullable;

/** Collects a response; aborts it as soon as its body is known to exceed the size limit. */
final class LimitedBodyHandler implements AsyncHandler<Either<HornbeamwardError, HttpResponse>> {
    private final String mWhat;
    private final long mLimitBytes;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private HttpHeaders mHeaders = EmptyHttpHeaders.INSTANCE;
    private @Nullable OversizedInput mOversized;

    LimitedBodyHandler(String what, long limitBytes) {
        mWhat = what;
        mLimitBytes = limitBytes;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        mStatus = status.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        mHeaders = headers;
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null) {
            return State.CONTINUE;
        }
        try {
            return checkSize(Long.parseLong(length));
        } catch (NumberFormatException e) {
            return State.CONTINUE;
        }
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (checkSize((long) mBody.size() + bytes.length) == State.ABORT) {
            return State.ABORT;
        }
        mBody.writeBytes(bytes);
        return State.CONTINUE;
    }

    private State checkSize(long sizeBytes) {
        if (sizeBytes <= mLimitBytes) {
            return State.CONTINUE;
        }
        mOversized = new OversizedInput(mWhat, sizeBytes, mLimitBytes);
        return State.ABORT;
    }

    @Override
    public void onThrowable(Throwable failure) {
        // The response future completes with the failure.
    }

    @Override
    public Either<HornbeamwardError, HttpResponse> onCompleted() {
        return mOversized == null
                ? Either.right(new HttpResponse(mStatus, mHeaders, mBody.toByteArray()))
                : Either.left(mOversized);
    }
}
