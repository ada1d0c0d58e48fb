package dandelionpoint.endtoend

import dandelionpoint.endtoend.CrowdRequests.MAX_BODY_BYTES
import dandelionpoint.endtoend.CrowdRequests.body
import dandelionpoint.endtoend.CrowdRequests.head
import dandelionpoint.endtoend.CrowdRequests.job
import dandelionpoint.endtoend.CrowdRequests.post
import dandelionpoint.endtoend.CrowdRequests.unfinishedChunks
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.testsupport.unlessKnownRed
import io.kotest.core.spec.style.DescribeSpec
import java.nio.ByteBuffer

private const val JOB_PATH = "/q/00000000000000aa"
private const val NO_ROUTE = "/nowhere/00000000000000aa"
private const val READINESS = "/v1/readiness"

/** Members of a crowd that sends bodies: more than the server has threads, and 15 MB of bodies in all. */
private const val SENDERS = 60

/** Members of a crowd that opens connections: more than the VM's settings allow descriptors. */
private const val CONNECTIONS = 500
private const val PIPELINERS = 40
private const val PIPELINED_REQUESTS = 20_000

/** Length of a frame between VMs that is accepted by its receiver, in bytes. */
private const val FRAME_BYTES = 8 * 1024 * 1024
private const val FRAME_SENDERS = 20

/** An unread answer fills a buffer of this size, in bytes, soon. */
private const val RECEIVE_BYTES = 4_096

private val SHORT_OF_ONE_BYTE = body(MAX_BODY_BYTES).copyOf(MAX_BODY_BYTES - 1)

/** Has a VM of its own, whose job that it accepted before [misuse] is still run; what has to hold is checked while the crowd is there. */
private suspend fun holdsAgainst(misuse: (LimitedVm, (ClientCrowd) -> ClientCrowd) -> Unit) {
    val runMs = { task: TaskRef -> if (task.jobId == LimitedVm.LONG_JOB) LimitedVm.RUN_MS else LimitedVm.SHORT_RUN_MS }
    PlatformStubs(runMs).use { stubs -> LimitedVm(stubs).use { holds(it, misuse) } }
}

private suspend fun holds(vm: LimitedVm, misuse: (LimitedVm, (ClientCrowd) -> ClientCrowd) -> Unit) {
    val crowds = mutableListOf<ClientCrowd>()
    try {
        vm.awaitServing()
        val accepted = vm.submitAcceptedJob()
        misuse(vm) { crowd -> crowd.also { crowds += it } }
        vm.shouldHold(accepted)
    } finally {
        crowds.forEach { it.close() }
    }
}

private suspend fun holdsAgainstSenders(script: Script, count: Int = SENDERS) =
    holdsAgainst { vm, keep -> keep(ClientCrowd(vm.clients)).send(count, script) }

private suspend fun holdsAgainstPipelining(method: String, path: String) = holdsAgainst { vm, keep ->
    val requests = head(method, path, "").repeat(PIPELINED_REQUESTS).encodeToByteArray()
    keep(ClientCrowd(vm.clients, RECEIVE_BYTES)).send(PIPELINERS, Script(requests))
}

/** A request with as many header fields as fit into [bytes] bytes. */
private fun manyHeaders(bytes: Int, isComplete: Boolean): Script {
    val begin = "POST $JOB_PATH HTTP/1.1\r\nHost: ${PlatformStubs.ROUTE_HOST}\r\nContent-Length: 1000\r\n"
    val fields = "a:\r\n".repeat((bytes - begin.length) / 4 - 1)
    return Script((begin + fields + if (isComplete) "\r\n" else "").encodeToByteArray())
}

/** A frame between VMs that lacks its last byte. */
private fun unfinishedFrame(): Script = Script(ByteBuffer.allocate(FRAME_BYTES + Int.SIZE_BYTES - 1).putInt(FRAME_BYTES).array())

/**
 * Guards against clients that end a VM's process, make it hang or exceed its memory or descriptors, or cost it jobs that it has accepted.
 * Each case has a process of its own, whose heap and limits are lowered so that a small crowd is enough.
 */
internal class ClientLimitsTest :
    DescribeSpec({
        describe("bodies that stop one byte before their end") {
            it("whole, at a queue's path") { holdsAgainstSenders(post(JOB_PATH, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES)) }
            it("in small pieces, at a queue's path") {
                holdsAgainstSenders(post(JOB_PATH, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES, pieces = 64))
            }
            it("small ones, at a queue's path") { holdsAgainstSenders(post(JOB_PATH, body(300).copyOf(299), 300)) }
            it("at a path without a route") { holdsAgainstSenders(post(NO_ROUTE, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES)) }
            it("of a GET") { holdsAgainstSenders(post(JOB_PATH, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES, "GET")) }
            it("of a DELETE") { holdsAgainstSenders(post(JOB_PATH, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES, "DELETE")) }
            it("at the readiness check") { holdsAgainstSenders(post(READINESS, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES, "GET")) }
            it("posted to the path of the readiness check") { holdsAgainstSenders(post(READINESS, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES)) }
        }

        describe("bodies without a declared length") {
            it("in chunks without the last one") { holdsAgainstSenders(unfinishedChunks(JOB_PATH, 260_000, 1_000)) }
            it("in chunks of one byte") { holdsAgainstSenders(unfinishedChunks(JOB_PATH, 40_000, 1)) }
            it("far over the limit") { holdsAgainstSenders(unfinishedChunks(JOB_PATH, 4_000_000, 10_000)) }
        }

        describe("bodies with a declared length far over the limit") {
            it("at a queue's path") { holdsAgainstSenders(post(JOB_PATH, ByteArray(4_000_000), Int.MAX_VALUE)) }
            it("at a path without a route") { holdsAgainstSenders(post(NO_ROUTE, ByteArray(4_000_000), Int.MAX_VALUE)) }
        }

        describe("legal bodies of very many short fields") {
            it("arrays") { holdsAgainstSenders(post(JOB_PATH, job("[" + "[],".repeat(87_000) + "[]]"))) }
            it("numbers in arrays") { holdsAgainstSenders(post(JOB_PATH, job("""{"after":[${"0,".repeat(131_000)}0]}"""))) }
            it("members") {
                holdsAgainstSenders(post(JOB_PATH, job("{\"count\":1}", List(26_000) { ",\"%x\":0".format(it) }.joinToString(""))))
            }
            it("steps that wait") {
                holdsAgainstSenders(post(JOB_PATH, job(List(9_700) { """{"count":1,"cpu":4000000}""" }.joinToString(","))))
            }
            it("long numbers") { holdsAgainstSenders(post(JOB_PATH, job("""{"count":1${"0".repeat(262_000)}}"""))) }
            it("deep nesting") {
                holdsAgainstSenders(post(JOB_PATH, job(List(2_100) { "[".repeat(60) + "]".repeat(60) }.joinToString(","))))
            }
        }

        describe("legal headers of very many short fields") {
            it("complete, with a body that does not come") { holdsAgainstSenders(manyHeaders(8_000, isComplete = true), 250) }
            it("that stop before their end") { holdsAgainstSenders(manyHeaders(8_000, isComplete = false), 250) }
        }

        describe("pipelined requests whose answers are not read") {
            it("GET at a queue's path") { holdsAgainstPipelining("GET", "/q/") }
            it("DELETE at a queue's path") { holdsAgainstPipelining("DELETE", JOB_PATH) }
            it("POST at a path without a route") { holdsAgainstPipelining("POST", NO_ROUTE) }
            it("GET of the readiness check") { holdsAgainstPipelining("GET", READINESS) }
        }

        describe("connections") {
            it("without a request") { holdsAgainstSenders(Script(), CONNECTIONS) }
            it("that stop within the header") {
                holdsAgainstSenders(Script("POST $JOB_PATH HTTP/1.1\r\nHost: ".encodeToByteArray()), CONNECTIONS)
            }
            it("without a request at the port of the readiness check").config(enabledOrReasonIf = unlessKnownRed) {
                holdsAgainst { vm, keep -> keep(ClientCrowd(vm.readiness)).send(CONNECTIONS, Script()) }
            }
            it("with a body that stops at the port of the readiness check") {
                val script = post(READINESS, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES, "GET")
                holdsAgainst { vm, keep -> keep(ClientCrowd(vm.readiness)).send(SENDERS, script) }
            }
        }

        describe("connections at the port for other VMs") {
            it("with frames that stop one byte before their end").config(enabledOrReasonIf = unlessKnownRed) {
                holdsAgainst { vm, keep -> keep(ClientCrowd(vm.peers)).send(FRAME_SENDERS, unfinishedFrame()) }
            }
            it("without a frame") { holdsAgainst { vm, keep -> keep(ClientCrowd(vm.peers)).send(CONNECTIONS, Script()) } }
            it("with a request for clients") {
                val script = post(JOB_PATH, SHORT_OF_ONE_BYTE, MAX_BODY_BYTES)
                holdsAgainst { vm, keep -> keep(ClientCrowd(vm.peers)).send(SENDERS, script) }
            }
        }
    })
