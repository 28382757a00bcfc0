// Dispatches nghttp2 events to the streams of a session.
#include "session_callbacks.h"

#include "http2_session.h"

namespace amaranthdale::peer {

struct SessionCallbacks
{
    static Http2Session &toSession(void *data) { return *static_cast<Http2Session *>(data); }

    static Stream *findStream(nghttp2_session *session, std::int32_t id)
    {
        return static_cast<Stream *>(nghttp2_session_get_stream_user_data(session, id));
    }

    static std::string_view toText(const std::uint8_t *data, std::size_t size)
    {
        return {reinterpret_cast<const char *>(data), size};
    }

    static int onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *data)
    {
        Http2Session &owner = toSession(data);
        if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
            return 0;
        const auto stream = owner.acceptStream();
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        stream->id = frame->hd.stream_id;
        stream->session = &owner;
        owner.streams.emplace(stream->id, stream);
        nghttp2_session_set_stream_user_data(session, stream->id, stream.get());
        return 0;
    }

    static int onHeader(nghttp2_session *session, const nghttp2_frame *frame,
                        const std::uint8_t *name, std::size_t nameSize, const std::uint8_t *value,
                        std::size_t valueSize, std::uint8_t, void *)
    {
        if (Stream *stream = findStream(session, frame->hd.stream_id))
            stream->onField(toText(name, nameSize), toText(value, valueSize));
        return 0;
    }

    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *data)
    {
        Http2Session &owner = toSession(data);
        if (frame->hd.type == NGHTTP2_GOAWAY)
            owner.goingAway = true;
        if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
            return 0;
        Stream *stream = findStream(session, frame->hd.stream_id);
        if (!stream)
            return 0;
        if (frame->hd.type == NGHTTP2_HEADERS)
            stream->onHeadersComplete();
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            stream->onEndStream();
        owner.scheduleProcessing(*stream);
        return 0;
    }

    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id,
                      const std::uint8_t *bytes, std::size_t size, void *data)
    {
        // Only the stream's window depends on its reader. If the connection's window did too, one
        // slow reader would block all streams.
        nghttp2_session_consume_connection(session, size);
        if (Stream *stream = findStream(session, id)) {
            stream->onData(toText(bytes, size));
            toSession(data).scheduleProcessing(*stream);
        }
        return 0;
    }

    static int onFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *data)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (Stream *stream = findStream(session, frame->hd.stream_id))
                stream->onHeadersSent();
        }
        if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR)
            toSession(data).countProtocolError();
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *data)
    {
        Http2Session &owner = toSession(data);
        const auto found = owner.streams.find(id);
        if (found == owner.streams.end())
            return 0;
        const auto stream = std::move(found->second);
        owner.streams.erase(found);
        stream->onStreamClosed(code);
        owner.scheduleProcessing(*stream);
        stream->session = nullptr;
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *target,
                            std::size_t capacity, std::uint32_t *flags, nghttp2_data_source *source,
                            void *data)
    {
        auto &stream = *static_cast<Stream *>(source->ptr);
        std::size_t size = 0;
        const BodySource::ReadStatus status = stream.bodySource.read(target, capacity, size);
        if (status == BodySource::ReadStatus::End)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        else if (stream.bodySource.needsChunk())
            toSession(data).scheduleProcessing(stream);
        if (status == BodySource::ReadStatus::WouldBlock)
            return NGHTTP2_ERR_DEFERRED;
        return static_cast<ssize_t>(size);
    }

    static nghttp2_session_callbacks *createTable()
    {
        nghttp2_session_callbacks *table = nullptr;
        if (nghttp2_session_callbacks_new(&table) != 0)
            throw std::bad_alloc();
        nghttp2_session_callbacks_set_on_begin_headers_callback(table, &onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(table, &onHeader);
        nghttp2_session_callbacks_set_on_frame_recv_callback(table, &onFrame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &onData);
        nghttp2_session_callbacks_set_on_frame_send_callback(table, &onFrameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(table, &onStreamClose);
        return table;
    }
};

const nghttp2_session_callbacks *sessionCallbacks()
{
    static const nghttp2_session_callbacks *const table = SessionCallbacks::createTable();
    return table;
}

nghttp2_data_provider bodyProvider(Stream &stream)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = &SessionCallbacks::readBody;
    return provider;
}

} // namespace amaranthdale::peer
