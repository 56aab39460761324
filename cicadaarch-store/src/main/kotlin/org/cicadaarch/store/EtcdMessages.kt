package org.cicadaarch.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoredValue

// The messages of the etcd v3 JSON API that the store client uses. Fields with their default value are not sent.

internal typealias Int64 =
    @Serializable(with = LongAsStringSerializer::class)
    Long

internal typealias Base64Text =
    @Serializable(with = Base64TextSerializer::class)
    String

@Serializable
internal data class ResponseHeader(val revision: Int64 = 0)

@Serializable
internal data class KeyValue(
    val key: Base64Text,
    val value: Base64Text = "",
    @SerialName("create_revision") val createRevision: Int64 = 0,
    @SerialName("mod_revision") val modifyRevision: Int64 = 0,
    val lease: Int64 = 0,
) {
    fun toStoredValue(): StoredValue = StoredValue(
        key = key,
        value = value,
        createRevision = createRevision,
        revision = modifyRevision,
        lease = LeaseId(lease).takeIf { lease != 0L },
    )
}

/** A read. One that is [serializable] may be answered from the copy of any member, which may be stale. */
@Serializable
internal data class RangeRequest(
    val key: Base64Text,
    @SerialName("range_end") val rangeEnd: Base64Text? = null,
    val limit: Int64 = 0,
    val serializable: Boolean = false,
)

@Serializable
internal data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    @SerialName("kvs") val keyValues: List<KeyValue> = emptyList(),
)

@Serializable
internal data class Comparison(
    val key: Base64Text,
    val target: String,
    @SerialName("create_revision") val createRevision: Int64? = null,
    @SerialName("mod_revision") val modifyRevision: Int64? = null,
)

@Serializable
internal data class PutRequest(val key: Base64Text, val value: Base64Text, val lease: Int64 = 0)

@Serializable
internal data class DeleteRequest(val key: Base64Text)

@Serializable
internal data class RequestOperation(
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: DeleteRequest? = null,
)

@Serializable
internal data class TransactionRequest(
    val compare: List<Comparison>,
    val success: List<RequestOperation>,
    val failure: List<RequestOperation>,
)

@Serializable
internal data class ResponseOperation(@SerialName("response_range") val range: RangeResponse? = null)

@Serializable
internal data class TransactionResponse(
    val header: ResponseHeader = ResponseHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

@Serializable
internal data class LeaseRequest(@SerialName("ID") val id: Int64 = 0, @SerialName("TTL") val seconds: Int64 = 0)

@Serializable
internal data class LeaseResponse(@SerialName("ID") val id: Int64 = 0, @SerialName("TTL") val seconds: Int64 = 0)

@Serializable
internal data class LeaseKeepAliveResponse(val result: LeaseResponse = LeaseResponse())

@Serializable
internal data class LeaseRevokeResponse(val header: ResponseHeader = ResponseHeader())

@Serializable
internal data class WatchRequest(@SerialName("create_request") val create: WatchCreateRequest)

@Serializable
internal data class WatchCreateRequest(
    val key: Base64Text,
    @SerialName("range_end") val rangeEnd: Base64Text,
    @SerialName("start_revision") val startRevision: Int64,
)

@Serializable
internal data class WatchMessage(val result: WatchResult? = null, val error: ErrorResponse? = null)

@Serializable
internal data class WatchResult(
    val created: Boolean = false,
    val canceled: Boolean = false,
    @SerialName("compact_revision") val compactRevision: Int64 = 0,
    val events: List<EtcdWatchEvent> = emptyList(),
)

@Serializable
internal data class EtcdWatchEvent(val type: String = "PUT", @SerialName("kv") val keyValue: KeyValue) {
    fun toStoredValue(): StoredValue =
        keyValue.toStoredValue().let { if (type == "DELETE") it.copy(value = null) else it }
}

@Serializable
internal data class ErrorResponse(val code: Int = 0, val message: String = "")
