                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".priority must be bigger than or equal to 0", value=data__priority, name="" + (name_prefix or "data") + ".priority", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "expires_in_s" in data_keys:
            data_keys.remove("expires_in_s")
            data__expiresins = data["expires_in_s"]
            if not isinstance(data__expiresins, (int, float, Decimal)) or isinstance(data__expiresins, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be number", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__expiresins, (int, float, Decimal)) and not isinstance(data__expiresins, bool):
                if data__expiresins < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be bigger than or equal to 0", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "rebuild_inputs" in data_keys:
            data_keys.remove("rebuild_inputs")
            data__rebuildinputs = data["rebuild_inputs"]
            if not isinstance(data__rebuildinputs, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".rebuild_inputs must be array", value=data__rebuildinputs, name="" + (name_prefix or "data") + ".rebuild_inputs", definition={'type': 'array', 'items': {}}, rule='type')
            data__rebuildinputs_is_list = isinstance(data__rebuildinputs, (list, tuple))
            if data__rebuildinputs_is_list:
                data__rebuildinputs_len = len(data__rebuildinputs)
        if "rebuild_kv" in data_keys:
            data_keys.remove("rebuild_kv")
            data__rebuildkv = data["rebuild_kv"]
        if "first_token" in data_keys:
            data_keys.remove("first_token")
            data__firsttoken = data["first_token"]
            if not isinstance(data__firsttoken, (int)) and not (isinstance(data__firsttoken, float) and data__firsttoken.is_integer()) or isinstance(data__firsttoken, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".first_token must be integer", value=data__firsttoken, name="" + (name_prefix or "data") + ".first_token", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__firsttoken, (int, float, Decimal)) and not isinstance(data__firsttoken, bool):
                if data__firsttoken < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".first_token must be bigger than or equal to 0", value=data__firsttoken, name="" + (name_prefix or "data") + ".first_token", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "digest" in data_keys:
            data_keys.remove("digest")
            data__digest = data["digest"]
            if not isinstance(data__digest, (int)) and not (isinstance(data__digest, float) and data__digest.is_integer()) or isinstance(data__digest, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be integer", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__digest, (int, float, Decimal)) and not isinstance(data__digest, bool):
                if data__digest < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be bigger than or equal to 0", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "traceparent" in data_keys:
            data_keys.remove("traceparent")
            data__traceparent = data["traceparent"]
            if not isinstance(data__traceparent, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".traceparent must be string", value=data__traceparent, name="" + (name_prefix or "data") + ".traceparent", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'chain', 'alternates', 'config_version', 'priority', 'expires_in_s', 'rebuild_inputs', 'rebuild_kv', 'first_token', 'digest', 'traceparent'], 'properties': {'type': {'const': 'open', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'config_version': {'type': 'integer', 'minimum': 0}, 'priority': {'type': 'integer', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'rebuild_inputs': {'type': 'array', 'items': {}}, 'rebuild_kv': {}, 'first_token': {'type': 'integer', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_opened(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'next_token'], 'properties': {'type': {'const': 'opened', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'next_token': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'stage_index', 'next_token']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'next_token'], 'properties': {'type': {'const': 'opened', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'next_token': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'opened', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'opened'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: opened", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'opened', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "stage_index" in data_keys:
            data_keys.remove("stage_index")
            data__stageindex = data["stage_index"]
            if not isinstance(data__stageindex, (int)) and not (isinstance(data__stageindex, float) and data__stageindex.is_integer()) or isinstance(data__stageindex, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be integer", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__stageindex, (int, float, Decimal)) and not isinstance(data__stageindex, bool):
                if data__stageindex < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be bigger than or equal to 0", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "next_token" in data_keys:
            data_keys.remove("next_token")
            data__nexttoken = data["next_token"]
            if not isinstance(data__nexttoken, (int)) and not (isinstance(data__nexttoken, float) and data__nexttoken.is_integer()) or isinstance(data__nexttoken, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".next_token must be integer", value=data__nexttoken, name="" + (name_prefix or "data") + ".next_token", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__nexttoken, (int, float, Decimal)) and not isinstance(data__nexttoken, bool):
                if data__nexttoken < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".next_token must be bigger than or equal to 0", value=data__nexttoken, name="" + (name_prefix or "data") + ".next_token", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'next_token'], 'properties': {'type': {'const': 'opened', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'next_token': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_hops(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'hops'], 'properties': {'type': {'const': 'hops', 'type': 'string'}, 'hops': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'hops']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'hops'], 'properties': {'type': {'const': 'hops', 'type': 'string'}, 'hops': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hops', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'hops'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: hops", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hops', 'type': 'string'}, rule='const')
        if "hops" in data_keys:
            data_keys.remove("hops")
            data__hops = data["hops"]
            if not isinstance(data__hops, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops must be array", value=data__hops, name="" + (name_prefix or "data") + ".hops", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}}, rule='type')
            data__hops_is_list = isinstance(data__hops, (list, tuple))
            if data__hops_is_list:
                data__hops_len = len(data__hops)
                for data__hops_x, data__hops_item in enumerate(data__hops):
                    if not isinstance(data__hops_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + " must be object", value=data__hops_item, name="" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}, rule='type')
                    data__hops_item_is_dict = isinstance(data__hops_item, dict)
                    if data__hops_item_is_dict:
                        data__hops_item__missing_keys = set(['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data']) - data__hops_item.keys()
                        if data__hops_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + " must contain " + (str(sorted(data__hops_item__missing_keys)) + " properties"), value=data__hops_item, name="" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}, rule='required')
                        data__hops_item_keys = set(data__hops_item.keys())
                        if "request" in data__hops_item_keys:
                            data__hops_item_keys.remove("request")
                            data__hops_item__request = data__hops_item["request"]
                            if not isinstance(data__hops_item__request, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].request".format(**locals()) + " must be string", value=data__hops_item__request, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='type')
                            if isinstance(data__hops_item__request, str):
                                data__hops_item__request_len = len(data__hops_item__request)
                                if data__hops_item__request_len > 64:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].request".format(**locals()) + " must be shorter than or equal to 64 characters", value=data__hops_item__request, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
                        if "attempt" in data__hops_item_keys:
                            data__hops_item_keys.remove("attempt")
                            data__hops_item__attempt = data__hops_item["attempt"]
                            if not isinstance(data__hops_item__attempt, (int)) and not (isinstance(data__hops_item__attempt, float) and data__hops_item__attempt.is_integer()) or isinstance(data__hops_item__attempt, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].attempt".format(**locals()) + " must be integer", value=data__hops_item__attempt, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__hops_item__attempt, (int, float, Decimal)) and not isinstance(data__hops_item__attempt, bool):
                                if data__hops_item__attempt < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].attempt".format(**locals()) + " must be bigger than or equal to 0", value=data__hops_item__attempt, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "stage_index" in data__hops_item_keys:
                            data__hops_item_keys.remove("stage_index")
                            data__hops_item__stageindex = data__hops_item["stage_index"]
                            if not isinstance(data__hops_item__stageindex, (int)) and not (isinstance(data__hops_item__stageindex, float) and data__hops_item__stageindex.is_integer()) or isinstance(data__hops_item__stageindex, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].stage_index".format(**locals()) + " must be integer", value=data__hops_item__stageindex, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].stage_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__hops_item__stageindex, (int, float, Decimal)) and not isinstance(data__hops_item__stageindex, bool):
                                if data__hops_item__stageindex < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].stage_index".format(**locals()) + " must be bigger than or equal to 0", value=data__hops_item__stageindex, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].stage_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "token_index" in data__hops_item_keys:
                            data__hops_item_keys.remove("token_index")
                            data__hops_item__tokenindex = data__hops_item["token_index"]
                            if not isinstance(data__hops_item__tokenindex, (int)) and not (isinstance(data__hops_item__tokenindex, float) and data__hops_item__tokenindex.is_integer()) or isinstance(data__hops_item__tokenindex, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].token_index".format(**locals()) + " must be integer", value=data__hops_item__tokenindex, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].token_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__hops_item__tokenindex, (int, float, Decimal)) and not isinstance(data__hops_item__tokenindex, bool):
                                if data__hops_item__tokenindex < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].token_index".format(**locals()) + " must be bigger than or equal to 0", value=data__hops_item__tokenindex, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].token_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "next_layer" in data__hops_item_keys:
                            data__hops_item_keys.remove("next_layer")
                            data__hops_item__nextlayer = data__hops_item["next_layer"]
                            if not isinstance(data__hops_item__nextlayer, (int)) and not (isinstance(data__hops_item__nextlayer, float) and data__hops_item__nextlayer.is_integer()) or isinstance(data__hops_item__nextlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].next_layer".format(**locals()) + " must be integer", value=data__hops_item__nextlayer, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].next_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__hops_item__nextlayer, (int, float, Decimal)) and not isinstance(data__hops_item__nextlayer, bool):
                                if data__hops_item__nextlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}].next_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__hops_item__nextlayer, name="" + (name_prefix or "data") + ".hops[{data__hops_x}].next_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "data" in data__hops_item_keys:
                            data__hops_item_keys.remove("data")
                            data__hops_item__data = data__hops_item["data"]
                        if data__hops_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + " must not contain "+str(data__hops_item_keys)+" properties", value=data__hops_item, name="" + (name_prefix or "data") + ".hops[{data__hops_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'hops'], 'properties': {'type': {'const': 'hops', 'type': 'string'}, 'hops': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'stage_index', 'token_index', 'next_layer', 'data'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'next_layer': {'type': 'integer', 'minimum': 0}, 'data': {}}}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_hop_results(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'results'], 'properties': {'type': {'const': 'hop_results', 'type': 'string'}, 'results': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'results']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'results'], 'properties': {'type': {'const': 'hop_results', 'type': 'string'}, 'results': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hop_results', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'hop_results'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: hop_results", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hop_results', 'type': 'string'}, rule='const')
        if "results" in data_keys:
            data_keys.remove("results")
            data__results = data["results"]
            if not isinstance(data__results, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results must be array", value=data__results, name="" + (name_prefix or "data") + ".results", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}}, rule='type')
            data__results_is_list = isinstance(data__results, (list, tuple))
            if data__results_is_list:
                data__results_len = len(data__results)
                for data__results_x, data__results_item in enumerate(data__results):
                    if not isinstance(data__results_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + " must be object", value=data__results_item, name="" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}, rule='type')
                    data__results_item_is_dict = isinstance(data__results_item, dict)
                    if data__results_item_is_dict:
                        data__results_item__missing_keys = set(['request', 'attempt', 'token_index', 'token', 'final']) - data__results_item.keys()
                        if data__results_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + " must contain " + (str(sorted(data__results_item__missing_keys)) + " properties"), value=data__results_item, name="" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}, rule='required')
                        data__results_item_keys = set(data__results_item.keys())
                        if "request" in data__results_item_keys:
                            data__results_item_keys.remove("request")
                            data__results_item__request = data__results_item["request"]
                            if not isinstance(data__results_item__request, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].request".format(**locals()) + " must be string", value=data__results_item__request, name="" + (name_prefix or "data") + ".results[{data__results_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='type')
                            if isinstance(data__results_item__request, str):
                                data__results_item__request_len = len(data__results_item__request)
                                if data__results_item__request_len > 64:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].request".format(**locals()) + " must be shorter than or equal to 64 characters", value=data__results_item__request, name="" + (name_prefix or "data") + ".results[{data__results_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
                        if "attempt" in data__results_item_keys:
                            data__results_item_keys.remove("attempt")
                            data__results_item__attempt = data__results_item["attempt"]
                            if not isinstance(data__results_item__attempt, (int)) and not (isinstance(data__results_item__attempt, float) and data__results_item__attempt.is_integer()) or isinstance(data__results_item__attempt, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].attempt".format(**locals()) + " must be integer", value=data__results_item__attempt, name="" + (name_prefix or "data") + ".results[{data__results_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__results_item__attempt, (int, float, Decimal)) and not isinstance(data__results_item__attempt, bool):
                                if data__results_item__attempt < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].attempt".format(**locals()) + " must be bigger than or equal to 0", value=data__results_item__attempt, name="" + (name_prefix or "data") + ".results[{data__results_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "token_index" in data__results_item_keys:
                            data__results_item_keys.remove("token_index")
                            data__results_item__tokenindex = data__results_item["token_index"]
                            if not isinstance(data__results_item__tokenindex, (int)) and not (isinstance(data__results_item__tokenindex, float) and data__results_item__tokenindex.is_integer()) or isinstance(data__results_item__tokenindex, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].token_index".format(**locals()) + " must be integer", value=data__results_item__tokenindex, name="" + (name_prefix or "data") + ".results[{data__results_x}].token_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__results_item__tokenindex, (int, float, Decimal)) and not isinstance(data__results_item__tokenindex, bool):
                                if data__results_item__tokenindex < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].token_index".format(**locals()) + " must be bigger than or equal to 0", value=data__results_item__tokenindex, name="" + (name_prefix or "data") + ".results[{data__results_x}].token_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "token" in data__results_item_keys:
                            data__results_item_keys.remove("token")
                            data__results_item__token = data__results_item["token"]
                            if not isinstance(data__results_item__token, (int)) and not (isinstance(data__results_item__token, float) and data__results_item__token.is_integer()) or isinstance(data__results_item__token, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].token".format(**locals()) + " must be integer", value=data__results_item__token, name="" + (name_prefix or "data") + ".results[{data__results_x}].token".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__results_item__token, (int, float, Decimal)) and not isinstance(data__results_item__token, bool):
                                if data__results_item__token < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].token".format(**locals()) + " must be bigger than or equal to 0", value=data__results_item__token, name="" + (name_prefix or "data") + ".results[{data__results_x}].token".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "final" in data__results_item_keys:
                            data__results_item_keys.remove("final")
                            data__results_item__final = data__results_item["final"]
                            if not isinstance(data__results_item__final, (bool)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}].final".format(**locals()) + " must be boolean", value=data__results_item__final, name="" + (name_prefix or "data") + ".results[{data__results_x}].final".format(**locals()) + "", definition={'type': 'boolean'}, rule='type')
                        if data__results_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + " must not contain "+str(data__results_item_keys)+" properties", value=data__results_item, name="" + (name_prefix or "data") + ".results[{data__results_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'results'], 'properties': {'type': {'const': 'hop_results', 'type': 'string'}, 'results': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'token_index', 'token', 'final'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_index': {'type': 'integer', 'minimum': 0}, 'token': {'type': 'integer', 'minimum': 0}, 'final': {'type': 'boolean'}}}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_stage_failed(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'reason', 'dead_targets'], 'properties': {'type': {'const': 'stage_failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'stage_index', 'reason', 'dead_targets']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'reason', 'dead_targets'], 'properties': {'type': {'const': 'stage_failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'stage_failed', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'stage_failed'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: stage_failed", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'stage_failed', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "stage_index" in data_keys:
            data_keys.remove("stage_index")
            data__stageindex = data["stage_index"]
            if not isinstance(data__stageindex, (int)) and not (isinstance(data__stageindex, float) and data__stageindex.is_integer()) or isinstance(data__stageindex, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be integer", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__stageindex, (int, float, Decimal)) and not isinstance(data__stageindex, bool):
                if data__stageindex < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be bigger than or equal to 0", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if "dead_targets" in data_keys:
            data_keys.remove("dead_targets")
            data__deadtargets = data["dead_targets"]
            if not isinstance(data__deadtargets, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".dead_targets must be array", value=data__deadtargets, name="" + (name_prefix or "data") + ".dead_targets", definition={'type': 'array', 'items': {'type': 'string'}}, rule='type')
            data__deadtargets_is_list = isinstance(data__deadtargets, (list, tuple))
            if data__deadtargets_is_list:
                data__deadtargets_len = len(data__deadtargets)
                for data__deadtargets_x, data__deadtargets_item in enumerate(data__deadtargets):
                    if not isinstance(data__deadtargets_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".dead_targets[{data__deadtargets_x}]".format(**locals()) + " must be string", value=data__deadtargets_item, name="" + (name_prefix or "data") + ".dead_targets[{data__deadtargets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'reason', 'dead_targets'], 'properties': {'type': {'const': 'stage_failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_close(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'close', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'close', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'close', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'close'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: close", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'close', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'close', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_call(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'service', 'config_version', 'method', 'path', 'content_type', 'body', 'idempotency_key', 'repeatable', 'expires_in_s', 'cost_tokens', 'worth', 'digest', 'traceparent'], 'properties': {'type': {'const': 'call', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'service': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'method': {'type': 'string'}, 'path': {'type': 'string'}, 'content_type': {'type': 'string'}, 'body': {}, 'idempotency_key': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'workspace', 'plan', 'service', 'config_version', 'method', 'path', 'content_type', 'body', 'idempotency_key', 'repeatable', 'expires_in_s', 'cost_tokens', 'worth', 'digest', 'traceparent']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'service', 'config_version', 'method', 'path', 'content_type', 'body', 'idempotency_key', 'repeatable', 'expires_in_s', 'cost_tokens', 'worth', 'digest', 'traceparent'], 'properties': {'type': {'const': 'call', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'service': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'method': {'type': 'string'}, 'path': {'type': 'string'}, 'content_type': {'type': 'string'}, 'body': {}, 'idempotency_key': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'call', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'call'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: call", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'call', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "workspace" in data_keys:
            data_keys.remove("workspace")
            data__workspace = data["workspace"]
            if not isinstance(data__workspace, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".workspace must be string", value=data__workspace, name="" + (name_prefix or "data") + ".workspace", definition={'type': 'string'}, rule='type')
        if "plan" in data_keys:
            data_keys.remove("plan")
            data__plan = data["plan"]
            if not isinstance(data__plan, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".plan must be string", value=data__plan, name="" + (name_prefix or "data") + ".plan", definition={'type': 'string'}, rule='type')
        if "service" in data_keys:
            data_keys.remove("service")
            data__service = data["service"]
            if not isinstance(data__service, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".service must be string", value=data__service, name="" + (name_prefix or "data") + ".service", definition={'type': 'string'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "method" in data_keys:
            data_keys.remove("method")
            data__method = data["method"]
            if not isinstance(data__method, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".method must be string", value=data__method, name="" + (name_prefix or "data") + ".method", definition={'type': 'string'}, rule='type')
        if "path" in data_keys:
            data_keys.remove("path")
            data__path = data["path"]
            if not isinstance(data__path, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".path must be string", value=data__path, name="" + (name_prefix or "data") + ".path", definition={'type': 'string'}, rule='type')
        if "content_type" in data_keys:
            data_keys.remove("content_type")
            data__contenttype = data["content_type"]
            if not isinstance(data__contenttype, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".content_type must be string", value=data__contenttype, name="" + (name_prefix or "data") + ".content_type", definition={'type': 'string'}, rule='type')
        if "body" in data_keys:
            data_keys.remove("body")
            data__body = data["body"]
        if "idempotency_key" in data_keys:
            data_keys.remove("idempotency_key")
            data__idempotencykey = data["idempotency_key"]
            if not isinstance(data__idempotencykey, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".idempotency_key must be string", value=data__idempotencykey, name="" + (name_prefix or "data") + ".idempotency_key", definition={'type': 'string'}, rule='type')
        if "repeatable" in data_keys:
            data_keys.remove("repeatable")
            data__repeatable = data["repeatable"]
            if not isinstance(data__repeatable, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".repeatable must be boolean", value=data__repeatable, name="" + (name_prefix or "data") + ".repeatable", definition={'type': 'boolean'}, rule='type')
        if "expires_in_s" in data_keys:
            data_keys.remove("expires_in_s")
            data__expiresins = data["expires_in_s"]
            if not isinstance(data__expiresins, (int, float, Decimal)) or isinstance(data__expiresins, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be number", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__expiresins, (int, float, Decimal)) and not isinstance(data__expiresins, bool):
                if data__expiresins < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be bigger than or equal to 0", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "cost_tokens" in data_keys:
            data_keys.remove("cost_tokens")
            data__costtokens = data["cost_tokens"]
            if not isinstance(data__costtokens, (int, float, Decimal)) or isinstance(data__costtokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".cost_tokens must be number", value=data__costtokens, name="" + (name_prefix or "data") + ".cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__costtokens, (int, float, Decimal)) and not isinstance(data__costtokens, bool):
                if data__costtokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cost_tokens must be bigger than or equal to 0", value=data__costtokens, name="" + (name_prefix or "data") + ".cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "worth" in data_keys:
            data_keys.remove("worth")
            data__worth = data["worth"]
            if not isinstance(data__worth, (int, float, Decimal)) or isinstance(data__worth, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".worth must be number", value=data__worth, name="" + (name_prefix or "data") + ".worth", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__worth, (int, float, Decimal)) and not isinstance(data__worth, bool):
                if data__worth < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".worth must be bigger than or equal to 0", value=data__worth, name="" + (name_prefix or "data") + ".worth", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "digest" in data_keys:
            data_keys.remove("digest")
            data__digest = data["digest"]
            if not isinstance(data__digest, (int)) and not (isinstance(data__digest, float) and data__digest.is_integer()) or isinstance(data__digest, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be integer", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__digest, (int, float, Decimal)) and not isinstance(data__digest, bool):
                if data__digest < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be bigger than or equal to 0", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "traceparent" in data_keys:
            data_keys.remove("traceparent")
            data__traceparent = data["traceparent"]
            if not isinstance(data__traceparent, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".traceparent must be string", value=data__traceparent, name="" + (name_prefix or "data") + ".traceparent", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'service', 'config_version', 'method', 'path', 'content_type', 'body', 'idempotency_key', 'repeatable', 'expires_in_s', 'cost_tokens', 'worth', 'digest', 'traceparent'], 'properties': {'type': {'const': 'call', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'service': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'method': {'type': 'string'}, 'path': {'type': 'string'}, 'content_type': {'type': 'string'}, 'body': {}, 'idempotency_key': {'type': 'string'}, 'repeatable': {'type': 'boolean'}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_call_result(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'status', 'content_type', 'body', 'ran', 'reason', 'replayed', 'retry_after_s'], 'properties': {'type': {'const': 'call_result', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'status': {'type': 'integer', 'minimum': 0}, 'content_type': {'type': 'string'}, 'body': {}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'reason': {'type': 'string'}, 'replayed': {'type': 'boolean'}, 'retry_after_s': {'type': 'number', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'status', 'content_type', 'body', 'ran', 'reason', 'replayed', 'retry_after_s']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'status', 'content_type', 'body', 'ran', 'reason', 'replayed', 'retry_after_s'], 'properties': {'type': {'const': 'call_result', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'status': {'type': 'integer', 'minimum': 0}, 'content_type': {'type': 'string'}, 'body': {}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'reason': {'type': 'string'}, 'replayed': {'type': 'boolean'}, 'retry_after_s': {'type': 'number', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'call_result', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'call_result'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: call_result", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'call_result', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "status" in data_keys:
            data_keys.remove("status")
            data__status = data["status"]
            if not isinstance(data__status, (int)) and not (isinstance(data__status, float) and data__status.is_integer()) or isinstance(data__status, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".status must be integer", value=data__status, name="" + (name_prefix or "data") + ".status", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__status, (int, float, Decimal)) and not isinstance(data__status, bool):
                if data__status < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".status must be bigger than or equal to 0", value=data__status, name="" + (name_prefix or "data") + ".status", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "content_type" in data_keys:
            data_keys.remove("content_type")
            data__contenttype = data["content_type"]
            if not isinstance(data__contenttype, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".content_type must be string", value=data__contenttype, name="" + (name_prefix or "data") + ".content_type", definition={'type': 'string'}, rule='type')
        if "body" in data_keys:
            data_keys.remove("body")
            data__body = data["body"]
        if "ran" in data_keys:
            data_keys.remove("ran")
            data__ran = data["ran"]
            if not isinstance(data__ran, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ran must be string", value=data__ran, name="" + (name_prefix or "data") + ".ran", definition={'type': 'string', 'enum': ['no', 'yes', 'unknown']}, rule='type')
            if not (isinstance(data__ran, str) and data__ran == 'no' or isinstance(data__ran, str) and data__ran == 'yes' or isinstance(data__ran, str) and data__ran == 'unknown'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ran must be one of ['no', 'yes', 'unknown']", value=data__ran, name="" + (name_prefix or "data") + ".ran", definition={'type': 'string', 'enum': ['no', 'yes', 'unknown']}, rule='enum')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if "replayed" in data_keys:
            data_keys.remove("replayed")
            data__replayed = data["replayed"]
            if not isinstance(data__replayed, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".replayed must be boolean", value=data__replayed, name="" + (name_prefix or "data") + ".replayed", definition={'type': 'boolean'}, rule='type')
        if "retry_after_s" in data_keys:
            data_keys.remove("retry_after_s")
            data__retryafters = data["retry_after_s"]
            if not isinstance(data__retryafters, (int, float, Decimal)) or isinstance(data__retryafters, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".retry_after_s must be number", value=data__retryafters, name="" + (name_prefix or "data") + ".retry_after_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__retryafters, (int, float, Decimal)) and not isinstance(data__retryafters, bool):
                if data__retryafters < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".retry_after_s must be bigger than or equal to 0", value=data__retryafters, name="" + (name_prefix or "data") + ".retry_after_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'status', 'content_type', 'body', 'ran', 'reason', 'replayed', 'retry_after_s'], 'properties': {'type': {'const': 'call_result', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'status': {'type': 'integer', 'minimum': 0}, 'content_type': {'type': 'string'}, 'body': {}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'reason': {'type': 'string'}, 'replayed': {'type': 'boolean'}, 'retry_after_s': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_order(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'lease', 'fencing_number', 'kind', 'arguments'], 'properties': {'type': {'const': 'order', 'type': 'string'}, 'order': {'type': 'string'}, 'lease': {'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'kind': {'type': 'string', 'enum': ['load_model', 'load_adapter', 'change_role', 'drain']}, 'arguments': {'type': 'object', 'additionalProperties': {'type': 'string'}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'order', 'lease', 'fencing_number', 'kind', 'arguments']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'lease', 'fencing_number', 'kind', 'arguments'], 'properties': {'type': {'const': 'order', 'type': 'string'}, 'order': {'type': 'string'}, 'lease': {'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'kind': {'type': 'string', 'enum': ['load_model', 'load_adapter', 'change_role', 'drain']}, 'arguments': {'type': 'object', 'additionalProperties': {'type': 'string'}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'order', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'order'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: order", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'order', 'type': 'string'}, rule='const')
        if "order" in data_keys:
            data_keys.remove("order")
            data__order = data["order"]
            if not isinstance(data__order, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".order must be string", value=data__order, name="" + (name_prefix or "data") + ".order", definition={'type': 'string'}, rule='type')
        if "lease" in data_keys:
            data_keys.remove("lease")
            data__lease = data["lease"]
            if not isinstance(data__lease, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".lease must be string", value=data__lease, name="" + (name_prefix or "data") + ".lease", definition={'type': 'string'}, rule='type')
        if "fencing_number" in data_keys:
            data_keys.remove("fencing_number")
            data__fencingnumber = data["fencing_number"]
            if not isinstance(data__fencingnumber, (int)) and not (isinstance(data__fencingnumber, float) and data__fencingnumber.is_integer()) or isinstance(data__fencingnumber, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".fencing_number must be integer", value=data__fencingnumber, name="" + (name_prefix or "data") + ".fencing_number", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__fencingnumber, (int, float, Decimal)) and not isinstance(data__fencingnumber, bool):
                if data__fencingnumber < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".fencing_number must be bigger than or equal to 0", value=data__fencingnumber, name="" + (name_prefix or "data") + ".fencing_number", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "kind" in data_keys:
            data_keys.remove("kind")
            data__kind = data["kind"]
            if not isinstance(data__kind, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".kind must be string", value=data__kind, name="" + (name_prefix or "data") + ".kind", definition={'type': 'string', 'enum': ['load_model', 'load_adapter', 'change_role', 'drain']}, rule='type')
            if not (isinstance(data__kind, str) and data__kind == 'load_model' or isinstance(data__kind, str) and data__kind == 'load_adapter' or isinstance(data__kind, str) and data__kind == 'change_role' or isinstance(data__kind, str) and data__kind == 'drain'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".kind must be one of ['load_model', 'load_adapter', 'change_role', 'drain']", value=data__kind, name="" + (name_prefix or "data") + ".kind", definition={'type': 'string', 'enum': ['load_model', 'load_adapter', 'change_role', 'drain']}, rule='enum')
        if "arguments" in data_keys:
            data_keys.remove("arguments")
            data__arguments = data["arguments"]
            if not isinstance(data__arguments, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".arguments must be object", value=data__arguments, name="" + (name_prefix or "data") + ".arguments", definition={'type': 'object', 'additionalProperties': {'type': 'string'}}, rule='type')
            data__arguments_is_dict = isinstance(data__arguments, dict)
            if data__arguments_is_dict:
                data__arguments_keys = set(data__arguments.keys())
                for data__arguments_key in data__arguments_keys:
                    if data__arguments_key not in []:
                        data__arguments_value = data__arguments.get(data__arguments_key)
                        if not isinstance(data__arguments_value, (str)):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".arguments.{data__arguments_key}".format(**locals()) + " must be string", value=data__arguments_value, name="" + (name_prefix or "data") + ".arguments.{data__arguments_key}".format(**locals()) + "", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'lease', 'fencing_number', 'kind', 'arguments'], 'properties': {'type': {'const': 'order', 'type': 'string'}, 'order': {'type': 'string'}, 'lease': {'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'kind': {'type': 'string', 'enum': ['load_model', 'load_adapter', 'change_role', 'drain']}, 'arguments': {'type': 'object', 'additionalProperties': {'type': 'string'}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_order_result(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'accepted', 'reason'], 'properties': {'type': {'const': 'order_result', 'type': 'string'}, 'order': {'type': 'string'}, 'accepted': {'type': 'boolean'}, 'reason': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'order', 'accepted', 'reason']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'accepted', 'reason'], 'properties': {'type': {'const': 'order_result', 'type': 'string'}, 'order': {'type': 'string'}, 'accepted': {'type': 'boolean'}, 'reason': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'order_result', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'order_result'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: order_result", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'order_result', 'type': 'string'}, rule='const')
        if "order" in data_keys:
            data_keys.remove("order")
            data__order = data["order"]
            if not isinstance(data__order, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".order must be string", value=data__order, name="" + (name_prefix or "data") + ".order", definition={'type': 'string'}, rule='type')
        if "accepted" in data_keys:
            data_keys.remove("accepted")
            data__accepted = data["accepted"]
            if not isinstance(data__accepted, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".accepted must be boolean", value=data__accepted, name="" + (name_prefix or "data") + ".accepted", definition={'type': 'boolean'}, rule='type')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'order', 'accepted', 'reason'], 'properties': {'type': {'const': 'order_result', 'type': 'string'}, 'order': {'type': 'string'}, 'accepted': {'type': 'boolean'}, 'reason': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_vm_leaving(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'vm'], 'properties': {'type': {'const': 'vm_leaving', 'type': 'string'}, 'vm': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'vm']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'vm'], 'properties': {'type': {'const': 'vm_leaving', 'type': 'string'}, 'vm': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'vm_leaving', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'vm_leaving'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: vm_leaving", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'vm_leaving', 'type': 'string'}, rule='const')
        if "vm" in data_keys:
            data_keys.remove("vm")
            data__vm = data["vm"]
            if not isinstance(data__vm, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".vm must be string", value=data__vm, name="" + (name_prefix or "data") + ".vm", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'vm'], 'properties': {'type': {'const': 'vm_leaving', 'type': 'string'}, 'vm': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_targets_wanted(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'targets_wanted', 'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'targets_wanted', 'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'targets_wanted', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'targets_wanted'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: targets_wanted", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'targets_wanted', 'type': 'string'}, rule='const')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'targets_wanted', 'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_targets(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'records'], 'properties': {'type': {'const': 'targets', 'type': 'string'}, 'records': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 4096}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'records']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'records'], 'properties': {'type': {'const': 'targets', 'type': 'string'}, 'records': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 4096}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'targets', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'targets'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: targets", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'targets', 'type': 'string'}, rule='const')
        if "records" in data_keys:
            data_keys.remove("records")
            data__records = data["records"]
            if not isinstance(data__records, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records must be array", value=data__records, name="" + (name_prefix or "data") + ".records", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 4096}, rule='type')
            data__records_is_list = isinstance(data__records, (list, tuple))
            if data__records_is_list:
                data__records_len = len(data__records)
                if data__records_len > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records must contain less than or equal to 4096 items", value=data__records, name="" + (name_prefix or "data") + ".records", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 4096}, rule='maxItems')
                for data__records_x, data__records_item in enumerate(data__records):
                    if not isinstance(data__records_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + " must be object", value=data__records_item, name="" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__records_item_is_dict = isinstance(data__records_item, dict)
                    if data__records_item_is_dict:
                        data__records_item__missing_keys = set(['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running']) - data__records_item.keys()
                        if data__records_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + " must contain " + (str(sorted(data__records_item__missing_keys)) + " properties"), value=data__records_item, name="" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__records_item_keys = set(data__records_item.keys())
                        if "target" in data__records_item_keys:
                            data__records_item_keys.remove("target")
                            data__records_item__target = data__records_item["target"]
                            if not isinstance(data__records_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].target".format(**locals()) + " must be string", value=data__records_item__target, name="" + (name_prefix or "data") + ".records[{data__records_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "host" in data__records_item_keys:
                            data__records_item_keys.remove("host")
                            data__records_item__host = data__records_item["host"]
                            if not isinstance(data__records_item__host, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].host".format(**locals()) + " must be string", value=data__records_item__host, name="" + (name_prefix or "data") + ".records[{data__records_x}].host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "port" in data__records_item_keys:
                            data__records_item_keys.remove("port")
                            data__records_item__port = data__records_item["port"]
                            if not isinstance(data__records_item__port, (int)) and not (isinstance(data__records_item__port, float) and data__records_item__port.is_integer()) or isinstance(data__records_item__port, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].port".format(**locals()) + " must be integer", value=data__records_item__port, name="" + (name_prefix or "data") + ".records[{data__records_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__port, (int, float, Decimal)) and not isinstance(data__records_item__port, bool):
                                if data__records_item__port < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].port".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__port, name="" + (name_prefix or "data") + ".records[{data__records_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "admin_host" in data__records_item_keys:
                            data__records_item_keys.remove("admin_host")
                            data__records_item__adminhost = data__records_item["admin_host"]
                            if not isinstance(data__records_item__adminhost, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].admin_host".format(**locals()) + " must be string", value=data__records_item__adminhost, name="" + (name_prefix or "data") + ".records[{data__records_x}].admin_host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "admin_port" in data__records_item_keys:
                            data__records_item_keys.remove("admin_port")
                            data__records_item__adminport = data__records_item["admin_port"]
                            if not isinstance(data__records_item__adminport, (int)) and not (isinstance(data__records_item__adminport, float) and data__records_item__adminport.is_integer()) or isinstance(data__records_item__adminport, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].admin_port".format(**locals()) + " must be integer", value=data__records_item__adminport, name="" + (name_prefix or "data") + ".records[{data__records_x}].admin_port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__adminport, (int, float, Decimal)) and not isinstance(data__records_item__adminport, bool):
                                if data__records_item__adminport < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].admin_port".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__adminport, name="" + (name_prefix or "data") + ".records[{data__records_x}].admin_port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "data_centre" in data__records_item_keys:
                            data__records_item_keys.remove("data_centre")
                            data__records_item__datacentre = data__records_item["data_centre"]
                            if not isinstance(data__records_item__datacentre, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].data_centre".format(**locals()) + " must be string", value=data__records_item__datacentre, name="" + (name_prefix or "data") + ".records[{data__records_x}].data_centre".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "vm" in data__records_item_keys:
                            data__records_item_keys.remove("vm")
                            data__records_item__vm = data__records_item["vm"]
                            if not isinstance(data__records_item__vm, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].vm".format(**locals()) + " must be string", value=data__records_item__vm, name="" + (name_prefix or "data") + ".records[{data__records_x}].vm".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "model" in data__records_item_keys:
                            data__records_item_keys.remove("model")
                            data__records_item__model = data__records_item["model"]
                            if not isinstance(data__records_item__model, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].model".format(**locals()) + " must be string", value=data__records_item__model, name="" + (name_prefix or "data") + ".records[{data__records_x}].model".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "first_layer" in data__records_item_keys:
                            data__records_item_keys.remove("first_layer")
                            data__records_item__firstlayer = data__records_item["first_layer"]
                            if not isinstance(data__records_item__firstlayer, (int)) and not (isinstance(data__records_item__firstlayer, float) and data__records_item__firstlayer.is_integer()) or isinstance(data__records_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].first_layer".format(**locals()) + " must be integer", value=data__records_item__firstlayer, name="" + (name_prefix or "data") + ".records[{data__records_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__firstlayer, (int, float, Decimal)) and not isinstance(data__records_item__firstlayer, bool):
                                if data__records_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__firstlayer, name="" + (name_prefix or "data") + ".records[{data__records_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__records_item_keys:
                            data__records_item_keys.remove("end_layer")
                            data__records_item__endlayer = data__records_item["end_layer"]
                            if not isinstance(data__records_item__endlayer, (int)) and not (isinstance(data__records_item__endlayer, float) and data__records_item__endlayer.is_integer()) or isinstance(data__records_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].end_layer".format(**locals()) + " must be integer", value=data__records_item__endlayer, name="" + (name_prefix or "data") + ".records[{data__records_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__endlayer, (int, float, Decimal)) and not isinstance(data__records_item__endlayer, bool):
                                if data__records_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__endlayer, name="" + (name_prefix or "data") + ".records[{data__records_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "layer_count" in data__records_item_keys:
                            data__records_item_keys.remove("layer_count")
                            data__records_item__layercount = data__records_item["layer_count"]
                            if not isinstance(data__records_item__layercount, (int)) and not (isinstance(data__records_item__layercount, float) and data__records_item__layercount.is_integer()) or isinstance(data__records_item__layercount, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].layer_count".format(**locals()) + " must be integer", value=data__records_item__layercount, name="" + (name_prefix or "data") + ".records[{data__records_x}].layer_count".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__layercount, (int, float, Decimal)) and not isinstance(data__records_item__layercount, bool):
                                if data__records_item__layercount < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].layer_count".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__layercount, name="" + (name_prefix or "data") + ".records[{data__records_x}].layer_count".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "accelerator_kind" in data__records_item_keys:
                            data__records_item_keys.remove("accelerator_kind")
                            data__records_item__acceleratorkind = data__records_item["accelerator_kind"]
                            if not isinstance(data__records_item__acceleratorkind, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].accelerator_kind".format(**locals()) + " must be string", value=data__records_item__acceleratorkind, name="" + (name_prefix or "data") + ".records[{data__records_x}].accelerator_kind".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "service" in data__records_item_keys:
                            data__records_item_keys.remove("service")
                            data__records_item__service = data__records_item["service"]
                            if not isinstance(data__records_item__service, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].service".format(**locals()) + " must be string", value=data__records_item__service, name="" + (name_prefix or "data") + ".records[{data__records_x}].service".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "max_running" in data__records_item_keys:
                            data__records_item_keys.remove("max_running")
                            data__records_item__maxrunning = data__records_item["max_running"]
                            if not isinstance(data__records_item__maxrunning, (int)) and not (isinstance(data__records_item__maxrunning, float) and data__records_item__maxrunning.is_integer()) or isinstance(data__records_item__maxrunning, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].max_running".format(**locals()) + " must be integer", value=data__records_item__maxrunning, name="" + (name_prefix or "data") + ".records[{data__records_x}].max_running".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__records_item__maxrunning, (int, float, Decimal)) and not isinstance(data__records_item__maxrunning, bool):
                                if data__records_item__maxrunning < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}].max_running".format(**locals()) + " must be bigger than or equal to 0", value=data__records_item__maxrunning, name="" + (name_prefix or "data") + ".records[{data__records_x}].max_running".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__records_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + " must not contain "+str(data__records_item_keys)+" properties", value=data__records_item, name="" + (name_prefix or "data") + ".records[{data__records_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'records'], 'properties': {'type': {'const': 'targets', 'type': 'string'}, 'records': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'admin_host', 'admin_port', 'data_centre', 'vm', 'model', 'first_layer', 'end_layer', 'layer_count', 'accelerator_kind', 'service', 'max_running'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'admin_host': {'type': 'string'}, 'admin_port': {'type': 'integer', 'minimum': 0}, 'data_centre': {'type': 'string'}, 'vm': {'type': 'string'}, 'model': {'type': 'string'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}, 'layer_count': {'type': 'integer', 'minimum': 0}, 'accelerator_kind': {'type': 'string'}, 'service': {'type': 'string'}, 'max_running': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 4096}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_occupancy(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'targets', 'token_layers', 'sequences', 'prefill_tokens', 'whole', 'config_version', 'crossing_mbps'], 'properties': {'type': {'const': 'occupancy', 'type': 'string'}, 'targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 4096}, 'token_layers': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'sequences': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'prefill_tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'whole': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'crossing_mbps': {'type': 'number', 'minimum': 0}, 'demand': {}, 'plain_targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 512}, 'plain_answer_ms': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 512}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'targets', 'token_layers', 'sequences', 'prefill_tokens', 'whole', 'config_version', 'crossing_mbps']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'targets', 'token_layers', 'sequences', 'prefill_tokens', 'whole', 'config_version', 'crossing_mbps'], 'properties': {'type': {'const': 'occupancy', 'type': 'string'}, 'targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 4096}, 'token_layers': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'sequences': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'prefill_tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'whole': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'crossing_mbps': {'type': 'number', 'minimum': 0}, 'demand': {}, 'plain_targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 512}, 'plain_answer_ms': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 512}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'occupancy', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'occupancy'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: occupancy", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'occupancy', 'type': 'string'}, rule='const')
        if "targets" in data_keys:
            data_keys.remove("targets")
            data__targets = data["targets"]
            if not isinstance(data__targets, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".targets must be array", value=data__targets, name="" + (name_prefix or "data") + ".targets", definition={'type': 'array', 'items': {'type': 'string'}, 'maxItems': 4096}, rule='type')
            data__targets_is_list = isinstance(data__targets, (list, tuple))
            if data__targets_is_list:
                data__targets_len = len(data__targets)
                if data__targets_len > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".targets must contain less than or equal to 4096 items", value=data__targets, name="" + (name_prefix or "data") + ".targets", definition={'type': 'array', 'items': {'type': 'string'}, 'maxItems': 4096}, rule='maxItems')
                for data__targets_x, data__targets_item in enumerate(data__targets):
                    if not isinstance(data__targets_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".targets[{data__targets_x}]".format(**locals()) + " must be string", value=data__targets_item, name="" + (name_prefix or "data") + ".targets[{data__targets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
        if "token_layers" in data_keys:
            data_keys.remove("token_layers")
            data__tokenlayers = data["token_layers"]
            if not isinstance(data__tokenlayers, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_layers must be array", value=data__tokenlayers, name="" + (name_prefix or "data") + ".token_layers", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='type')
            data__tokenlayers_is_list = isinstance(data__tokenlayers, (list, tuple))
            if data__tokenlayers_is_list:
                data__tokenlayers_len = len(data__tokenlayers)
                if data__tokenlayers_len > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_layers must contain less than or equal to 4096 items", value=data__tokenlayers, name="" + (name_prefix or "data") + ".token_layers", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='maxItems')
                for data__tokenlayers_x, data__tokenlayers_item in enumerate(data__tokenlayers):
                    if not isinstance(data__tokenlayers_item, (int)) and not (isinstance(data__tokenlayers_item, float) and data__tokenlayers_item.is_integer()) or isinstance(data__tokenlayers_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_layers[{data__tokenlayers_x}]".format(**locals()) + " must be integer", value=data__tokenlayers_item, name="" + (name_prefix or "data") + ".token_layers[{data__tokenlayers_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__tokenlayers_item, (int, float, Decimal)) and not isinstance(data__tokenlayers_item, bool):
                        if data__tokenlayers_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_layers[{data__tokenlayers_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__tokenlayers_item, name="" + (name_prefix or "data") + ".token_layers[{data__tokenlayers_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "sequences" in data_keys:
            data_keys.remove("sequences")
            data__sequences = data["sequences"]
            if not isinstance(data__sequences, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequences must be array", value=data__sequences, name="" + (name_prefix or "data") + ".sequences", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='type')
            data__sequences_is_list = isinstance(data__sequences, (list, tuple))
            if data__sequences_is_list:
                data__sequences_len = len(data__sequences)
                if data__sequences_len > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequences must contain less than or equal to 4096 items", value=data__sequences, name="" + (name_prefix or "data") + ".sequences", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='maxItems')
                for data__sequences_x, data__sequences_item in enumerate(data__sequences):
                    if not isinstance(data__sequences_item, (int)) and not (isinstance(data__sequences_item, float) and data__sequences_item.is_integer()) or isinstance(data__sequences_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequences[{data__sequences_x}]".format(**locals()) + " must be integer", value=data__sequences_item, name="" + (name_prefix or "data") + ".sequences[{data__sequences_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__sequences_item, (int, float, Decimal)) and not isinstance(data__sequences_item, bool):
                        if data__sequences_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequences[{data__sequences_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__sequences_item, name="" + (name_prefix or "data") + ".sequences[{data__sequences_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "prefill_tokens" in data_keys:
            data_keys.remove("prefill_tokens")
            data__prefilltokens = data["prefill_tokens"]
            if not isinstance(data__prefilltokens, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefill_tokens must be array", value=data__prefilltokens, name="" + (name_prefix or "data") + ".prefill_tokens", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='type')
            data__prefilltokens_is_list = isinstance(data__prefilltokens, (list, tuple))
            if data__prefilltokens_is_list:
                data__prefilltokens_len = len(data__prefilltokens)
                if data__prefilltokens_len > 4096:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefill_tokens must contain less than or equal to 4096 items", value=data__prefilltokens, name="" + (name_prefix or "data") + ".prefill_tokens", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, rule='maxItems')
                for data__prefilltokens_x, data__prefilltokens_item in enumerate(data__prefilltokens):
                    if not isinstance(data__prefilltokens_item, (int)) and not (isinstance(data__prefilltokens_item, float) and data__prefilltokens_item.is_integer()) or isinstance(data__prefilltokens_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefill_tokens[{data__prefilltokens_x}]".format(**locals()) + " must be integer", value=data__prefilltokens_item, name="" + (name_prefix or "data") + ".prefill_tokens[{data__prefilltokens_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__prefilltokens_item, (int, float, Decimal)) and not isinstance(data__prefilltokens_item, bool):
                        if data__prefilltokens_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefill_tokens[{data__prefilltokens_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__prefilltokens_item, name="" + (name_prefix or "data") + ".prefill_tokens[{data__prefilltokens_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "whole" in data_keys:
            data_keys.remove("whole")
            data__whole = data["whole"]
            if not isinstance(data__whole, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".whole must be boolean", value=data__whole, name="" + (name_prefix or "data") + ".whole", definition={'type': 'boolean'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "crossing_mbps" in data_keys:
            data_keys.remove("crossing_mbps")
            data__crossingmbps = data["crossing_mbps"]
            if not isinstance(data__crossingmbps, (int, float, Decimal)) or isinstance(data__crossingmbps, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".crossing_mbps must be number", value=data__crossingmbps, name="" + (name_prefix or "data") + ".crossing_mbps", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__crossingmbps, (int, float, Decimal)) and not isinstance(data__crossingmbps, bool):
                if data__crossingmbps < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".crossing_mbps must be bigger than or equal to 0", value=data__crossingmbps, name="" + (name_prefix or "data") + ".crossing_mbps", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "demand" in data_keys:
            data_keys.remove("demand")
            data__demand = data["demand"]
        if "plain_targets" in data_keys:
            data_keys.remove("plain_targets")
            data__plaintargets = data["plain_targets"]
            if not isinstance(data__plaintargets, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_targets must be array", value=data__plaintargets, name="" + (name_prefix or "data") + ".plain_targets", definition={'type': 'array', 'items': {'type': 'string'}, 'maxItems': 512}, rule='type')
            data__plaintargets_is_list = isinstance(data__plaintargets, (list, tuple))
            if data__plaintargets_is_list:
                data__plaintargets_len = len(data__plaintargets)
                if data__plaintargets_len > 512:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_targets must contain less than or equal to 512 items", value=data__plaintargets, name="" + (name_prefix or "data") + ".plain_targets", definition={'type': 'array', 'items': {'type': 'string'}, 'maxItems': 512}, rule='maxItems')
                for data__plaintargets_x, data__plaintargets_item in enumerate(data__plaintargets):
                    if not isinstance(data__plaintargets_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_targets[{data__plaintargets_x}]".format(**locals()) + " must be string", value=data__plaintargets_item, name="" + (name_prefix or "data") + ".plain_targets[{data__plaintargets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
        if "plain_answer_ms" in data_keys:
            data_keys.remove("plain_answer_ms")
            data__plainanswerms = data["plain_answer_ms"]
            if not isinstance(data__plainanswerms, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_answer_ms must be array", value=data__plainanswerms, name="" + (name_prefix or "data") + ".plain_answer_ms", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 512}, rule='type')
            data__plainanswerms_is_list = isinstance(data__plainanswerms, (list, tuple))
            if data__plainanswerms_is_list:
                data__plainanswerms_len = len(data__plainanswerms)
                if data__plainanswerms_len > 512:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_answer_ms must contain less than or equal to 512 items", value=data__plainanswerms, name="" + (name_prefix or "data") + ".plain_answer_ms", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 512}, rule='maxItems')
                for data__plainanswerms_x, data__plainanswerms_item in enumerate(data__plainanswerms):
                    if not isinstance(data__plainanswerms_item, (int)) and not (isinstance(data__plainanswerms_item, float) and data__plainanswerms_item.is_integer()) or isinstance(data__plainanswerms_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_answer_ms[{data__plainanswerms_x}]".format(**locals()) + " must be integer", value=data__plainanswerms_item, name="" + (name_prefix or "data") + ".plain_answer_ms[{data__plainanswerms_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__plainanswerms_item, (int, float, Decimal)) and not isinstance(data__plainanswerms_item, bool):
                        if data__plainanswerms_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".plain_answer_ms[{data__plainanswerms_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__plainanswerms_item, name="" + (name_prefix or "data") + ".plain_answer_ms[{data__plainanswerms_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'targets', 'token_layers', 'sequences', 'prefill_tokens', 'whole', 'config_version', 'crossing_mbps'], 'properties': {'type': {'const': 'occupancy', 'type': 'string'}, 'targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 4096}, 'token_layers': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'sequences': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'prefill_tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 4096}, 'whole': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'crossing_mbps': {'type': 'number', 'minimum': 0}, 'demand': {}, 'plain_targets': {'type': 'array', 'items': {'type': 'string'}, 'maxItems': 512}, 'plain_answer_ms': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 512}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_target_health(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'is_down', 'reason'], 'properties': {'type': {'const': 'target_health', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'is_down': {'type': 'boolean'}, 'reason': {'type': 'string', 'maxLength': 500}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'target', 'born_ms', 'is_down', 'reason']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'is_down', 'reason'], 'properties': {'type': {'const': 'target_health', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'is_down': {'type': 'boolean'}, 'reason': {'type': 'string', 'maxLength': 500}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_health', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'target_health'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: target_health", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_health', 'type': 'string'}, rule='const')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "born_ms" in data_keys:
            data_keys.remove("born_ms")
            data__bornms = data["born_ms"]
            if not isinstance(data__bornms, (int)) and not (isinstance(data__bornms, float) and data__bornms.is_integer()) or isinstance(data__bornms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".born_ms must be integer", value=data__bornms, name="" + (name_prefix or "data") + ".born_ms", definition={'type': 'integer'}, rule='type')
        if "is_down" in data_keys:
            data_keys.remove("is_down")
            data__isdown = data["is_down"]
            if not isinstance(data__isdown, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".is_down must be boolean", value=data__isdown, name="" + (name_prefix or "data") + ".is_down", definition={'type': 'boolean'}, rule='type')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string', 'maxLength': 500}, rule='type')
            if isinstance(data__reason, str):
                data__reason_len = len(data__reason)
                if data__reason_len > 500:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be shorter than or equal to 500 characters", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string', 'maxLength': 500}, rule='maxLength')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'is_down', 'reason'], 'properties': {'type': {'const': 'target_health', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'is_down': {'type': 'boolean'}, 'reason': {'type': 'string', 'maxLength': 500}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_registration(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'version', 'value'], 'properties': {'type': {'const': 'registration', 'type': 'string'}, 'target': {'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 65536}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'target', 'version', 'value']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'version', 'value'], 'properties': {'type': {'const': 'registration', 'type': 'string'}, 'target': {'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 65536}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'registration', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'registration'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: registration", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'registration', 'type': 'string'}, rule='const')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "version" in data_keys:
            data_keys.remove("version")
            data__version = data["version"]
            if not isinstance(data__version, (int)) and not (isinstance(data__version, float) and data__version.is_integer()) or isinstance(data__version, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be integer", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__version, (int, float, Decimal)) and not isinstance(data__version, bool):
                if data__version < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be bigger than or equal to 0", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "value" in data_keys:
            data_keys.remove("value")
            data__value = data["value"]
            if not isinstance(data__value, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".value must be string", value=data__value, name="" + (name_prefix or "data") + ".value", definition={'type': 'string', 'maxLength': 65536}, rule='type')
            if isinstance(data__value, str):
                data__value_len = len(data__value)
                if data__value_len > 65536:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".value must be shorter than or equal to 65536 characters", value=data__value, name="" + (name_prefix or "data") + ".value", definition={'type': 'string', 'maxLength': 65536}, rule='maxLength')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'version', 'value'], 'properties': {'type': {'const': 'registration', 'type': 'string'}, 'target': {'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 65536}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_catalog(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'value'], 'properties': {'type': {'const': 'catalog', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 2000000}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'version', 'value']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'value'], 'properties': {'type': {'const': 'catalog', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 2000000}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'catalog', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'catalog'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: catalog", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'catalog', 'type': 'string'}, rule='const')
        if "version" in data_keys:
            data_keys.remove("version")
            data__version = data["version"]
            if not isinstance(data__version, (int)) and not (isinstance(data__version, float) and data__version.is_integer()) or isinstance(data__version, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be integer", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__version, (int, float, Decimal)) and not isinstance(data__version, bool):
                if data__version < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be bigger than or equal to 0", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "value" in data_keys:
            data_keys.remove("value")
            data__value = data["value"]
            if not isinstance(data__value, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".value must be string", value=data__value, name="" + (name_prefix or "data") + ".value", definition={'type': 'string', 'maxLength': 2000000}, rule='type')
            if isinstance(data__value, str):
                data__value_len = len(data__value)
                if data__value_len > 2000000:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".value must be shorter than or equal to 2000000 characters", value=data__value, name="" + (name_prefix or "data") + ".value", definition={'type': 'string', 'maxLength': 2000000}, rule='maxLength')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'value'], 'properties': {'type': {'const': 'catalog', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'value': {'type': 'string', 'maxLength': 2000000}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_layout(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'fencing_number', 'layers'], 'properties': {'type': {'const': 'layout', 'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'successor': {'type': 'string'}, 'layers': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'fencing_number', 'layers']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'fencing_number', 'layers'], 'properties': {'type': {'const': 'layout', 'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'successor': {'type': 'string'}, 'layers': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'layout', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'layout'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: layout", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'layout', 'type': 'string'}, rule='const')
        if "fencing_number" in data_keys:
            data_keys.remove("fencing_number")
            data__fencingnumber = data["fencing_number"]
            if not isinstance(data__fencingnumber, (int)) and not (isinstance(data__fencingnumber, float) and data__fencingnumber.is_integer()) or isinstance(data__fencingnumber, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".fencing_number must be integer", value=data__fencingnumber, name="" + (name_prefix or "data") + ".fencing_number", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__fencingnumber, (int, float, Decimal)) and not isinstance(data__fencingnumber, bool):
                if data__fencingnumber < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".fencing_number must be bigger than or equal to 0", value=data__fencingnumber, name="" + (name_prefix or "data") + ".fencing_number", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "successor" in data_keys:
            data_keys.remove("successor")
            data__successor = data["successor"]
            if not isinstance(data__successor, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".successor must be string", value=data__successor, name="" + (name_prefix or "data") + ".successor", definition={'type': 'string'}, rule='type')
        if "layers" in data_keys:
            data_keys.remove("layers")
            data__layers = data["layers"]
            if not isinstance(data__layers, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers must be array", value=data__layers, name="" + (name_prefix or "data") + ".layers", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='type')
            data__layers_is_list = isinstance(data__layers, (list, tuple))
            if data__layers_is_list:
                data__layers_len = len(data__layers)
                if data__layers_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers must contain less than or equal to 64 items", value=data__layers, name="" + (name_prefix or "data") + ".layers", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='maxItems')
                for data__layers_x, data__layers_item in enumerate(data__layers):
                    if not isinstance(data__layers_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + " must be object", value=data__layers_item, name="" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__layers_item_is_dict = isinstance(data__layers_item, dict)
                    if data__layers_item_is_dict:
                        data__layers_item__missing_keys = set(['name', 'born_ms', 'first_layer', 'end_layer']) - data__layers_item.keys()
                        if data__layers_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + " must contain " + (str(sorted(data__layers_item__missing_keys)) + " properties"), value=data__layers_item, name="" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__layers_item_keys = set(data__layers_item.keys())
                        if "name" in data__layers_item_keys:
                            data__layers_item_keys.remove("name")
                            data__layers_item__name = data__layers_item["name"]
                            if not isinstance(data__layers_item__name, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].name".format(**locals()) + " must be string", value=data__layers_item__name, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].name".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "born_ms" in data__layers_item_keys:
                            data__layers_item_keys.remove("born_ms")
                            data__layers_item__bornms = data__layers_item["born_ms"]
                            if not isinstance(data__layers_item__bornms, (int)) and not (isinstance(data__layers_item__bornms, float) and data__layers_item__bornms.is_integer()) or isinstance(data__layers_item__bornms, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].born_ms".format(**locals()) + " must be integer", value=data__layers_item__bornms, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].born_ms".format(**locals()) + "", definition={'type': 'integer'}, rule='type')
                        if "first_layer" in data__layers_item_keys:
                            data__layers_item_keys.remove("first_layer")
                            data__layers_item__firstlayer = data__layers_item["first_layer"]
                            if not isinstance(data__layers_item__firstlayer, (int)) and not (isinstance(data__layers_item__firstlayer, float) and data__layers_item__firstlayer.is_integer()) or isinstance(data__layers_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].first_layer".format(**locals()) + " must be integer", value=data__layers_item__firstlayer, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__layers_item__firstlayer, (int, float, Decimal)) and not isinstance(data__layers_item__firstlayer, bool):
                                if data__layers_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__layers_item__firstlayer, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__layers_item_keys:
                            data__layers_item_keys.remove("end_layer")
                            data__layers_item__endlayer = data__layers_item["end_layer"]
                            if not isinstance(data__layers_item__endlayer, (int)) and not (isinstance(data__layers_item__endlayer, float) and data__layers_item__endlayer.is_integer()) or isinstance(data__layers_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].end_layer".format(**locals()) + " must be integer", value=data__layers_item__endlayer, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__layers_item__endlayer, (int, float, Decimal)) and not isinstance(data__layers_item__endlayer, bool):
                                if data__layers_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__layers_item__endlayer, name="" + (name_prefix or "data") + ".layers[{data__layers_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__layers_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + " must not contain "+str(data__layers_item_keys)+" properties", value=data__layers_item, name="" + (name_prefix or "data") + ".layers[{data__layers_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'fencing_number', 'layers'], 'properties': {'type': {'const': 'layout', 'type': 'string'}, 'fencing_number': {'type': 'integer', 'minimum': 0}, 'successor': {'type': 'string'}, 'layers': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['name', 'born_ms', 'first_layer', 'end_layer'], 'properties': {'name': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_catalog_wanted(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'catalog_wanted', 'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'catalog_wanted', 'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'catalog_wanted', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'catalog_wanted'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: catalog_wanted", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'catalog_wanted', 'type': 'string'}, rule='const')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type'], 'properties': {'type': {'const': 'catalog_wanted', 'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_target_pace(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'pace'], 'properties': {'type': {'const': 'target_pace', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'pace': {'type': 'number', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'target', 'born_ms', 'pace']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'pace'], 'properties': {'type': {'const': 'target_pace', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'pace': {'type': 'number', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_pace', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'target_pace'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: target_pace", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_pace', 'type': 'string'}, rule='const')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "born_ms" in data_keys:
            data_keys.remove("born_ms")
            data__bornms = data["born_ms"]
            if not isinstance(data__bornms, (int)) and not (isinstance(data__bornms, float) and data__bornms.is_integer()) or isinstance(data__bornms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".born_ms must be integer", value=data__bornms, name="" + (name_prefix or "data") + ".born_ms", definition={'type': 'integer'}, rule='type')
        if "pace" in data_keys:
            data_keys.remove("pace")
            data__pace = data["pace"]
            if not isinstance(data__pace, (int, float, Decimal)) or isinstance(data__pace, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".pace must be number", value=data__pace, name="" + (name_prefix or "data") + ".pace", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__pace, (int, float, Decimal)) and not isinstance(data__pace, bool):
                if data__pace < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".pace must be bigger than or equal to 0", value=data__pace, name="" + (name_prefix or "data") + ".pace", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms', 'pace'], 'properties': {'type': {'const': 'target_pace', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}, 'pace': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_full_target(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms'], 'properties': {'type': {'const': 'full_target', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'target', 'born_ms']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms'], 'properties': {'type': {'const': 'full_target', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'full_target', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'full_target'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: full_target", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'full_target', 'type': 'string'}, rule='const')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "born_ms" in data_keys:
            data_keys.remove("born_ms")
            data__bornms = data["born_ms"]
            if not isinstance(data__bornms, (int)) and not (isinstance(data__bornms, float) and data__bornms.is_integer()) or isinstance(data__bornms, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".born_ms must be integer", value=data__bornms, name="" + (name_prefix or "data") + ".born_ms", definition={'type': 'integer'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'born_ms'], 'properties': {'type': {'const': 'full_target', 'type': 'string'}, 'target': {'type': 'string'}, 'born_ms': {'type': 'integer'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_target_limit(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'turns'], 'properties': {'type': {'const': 'target_limit', 'type': 'string'}, 'process': {'type': 'string'}, 'limit_per_s': {'type': 'number', 'minimum': 0}, 'turns': {'type': 'number', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'process', 'turns']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'turns'], 'properties': {'type': {'const': 'target_limit', 'type': 'string'}, 'process': {'type': 'string'}, 'limit_per_s': {'type': 'number', 'minimum': 0}, 'turns': {'type': 'number', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_limit', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'target_limit'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: target_limit", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'target_limit', 'type': 'string'}, rule='const')
        if "process" in data_keys:
            data_keys.remove("process")
            data__process = data["process"]
            if not isinstance(data__process, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".process must be string", value=data__process, name="" + (name_prefix or "data") + ".process", definition={'type': 'string'}, rule='type')
        if "limit_per_s" in data_keys:
            data_keys.remove("limit_per_s")
            data__limitpers = data["limit_per_s"]
            if not isinstance(data__limitpers, (int, float, Decimal)) or isinstance(data__limitpers, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".limit_per_s must be number", value=data__limitpers, name="" + (name_prefix or "data") + ".limit_per_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__limitpers, (int, float, Decimal)) and not isinstance(data__limitpers, bool):
                if data__limitpers < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".limit_per_s must be bigger than or equal to 0", value=data__limitpers, name="" + (name_prefix or "data") + ".limit_per_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "turns" in data_keys:
            data_keys.remove("turns")
            data__turns = data["turns"]
            if not isinstance(data__turns, (int, float, Decimal)) or isinstance(data__turns, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".turns must be number", value=data__turns, name="" + (name_prefix or "data") + ".turns", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__turns, (int, float, Decimal)) and not isinstance(data__turns, bool):
                if data__turns < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".turns must be bigger than or equal to 0", value=data__turns, name="" + (name_prefix or "data") + ".turns", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'turns'], 'properties': {'type': {'const': 'target_limit', 'type': 'string'}, 'process': {'type': 'string'}, 'limit_per_s': {'type': 'number', 'minimum': 0}, 'turns': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
    return data
CHECKS = {
    'hello': check_hello,
    'heartbeat': check_heartbeat,
    'load': check_load,
    'leaving': check_leaving,
    'config': check_config,
    'suspects': check_suspects,
    'responses_seen': check_responses_seen,
    'part_evidence': check_part_evidence,
    'start': check_start,
    'started': check_started,
    'refused': check_refused,
    'tokens': check_tokens,
    'credit': check_credit,
    'finished': check_finished,
    'failed': check_failed,
    'cancel': check_cancel,
    'open': check_open,
    'opened': check_opened,
    'hops': check_hops,
    'hop_results': check_hop_results,
    'stage_failed': check_stage_failed,
    'close': check_close,
    'call': check_call,
    'call_result': check_call_result,
    'order': check_order,
    'order_result': check_order_result,
    'vm_leaving': check_vm_leaving,
    'targets_wanted': check_targets_wanted,
    'targets': check_targets,
    'occupancy': check_occupancy,
    'target_health': check_target_health,
    'registration': check_registration,
    'catalog': check_catalog,
    'layout': check_layout,
    'catalog_wanted': check_catalog_wanted,
    'target_pace': check_target_pace,
    'full_target': check_full_target,
    'target_limit': check_target_limit,
}

BYTES_PATHS = {
    'hello': [],
    'heartbeat': [],
    'load': [],
    'leaving': [],
    'config': [('body',)],
    'suspects': [],
    'responses_seen': [],
    'part_evidence': [],
    'start': [],
    'started': [],
    'refused': [],
    'tokens': [],
    'credit': [],
    'finished': [],
    'failed': [],
    'cancel': [],
    'open': [('rebuild_inputs', '*'), ('rebuild_kv',)],
    'opened': [],
    'hops': [('hops', '*', 'data')],
    'hop_results': [],
    'stage_failed': [],
    'close': [],
    'call': [('body',)],
    'call_result': [('body',)],
    'order': [],
    'order_result': [],
    'vm_leaving': [],
    'targets_wanted': [],
    'targets': [],
    'occupancy': [],
    'target_health': [],
    'registration': [],
    'catalog': [],
    'layout': [],
    'catalog_wanted': [],
    'target_pace': [],
    'full_target': [],
    'target_limit': [],
}
